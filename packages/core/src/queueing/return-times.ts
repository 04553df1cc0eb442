/**
 * Tells refused callers when to return.
 *
 * Load pattern: a burst of several seconds beyond the capacity of a service. Callers that are told the
 * same time return together as a second wave, often while the burst still lasts, and are refused again.
 *
 * Capacity that is expected to be free is promised to one caller after the other, earlier refusals
 * first. A caller honours a Retry-After only up to a third of the time that it has left; one to whom
 * nothing can be promised by then returns as late as it would, spread over the last part of that time.
 */
import type { RandomSource } from '../runtime/index.js';
import {
  computeExpectedWaitMs,
  computeFreeSlotShare,
  MAX_RETRY_AFTER_SHARE,
  MIN_RETRY_AFTER_MS,
} from './admission.js';
import type { QueueState } from './admission.js';

/** Part of the latest time over which returns are spread that no capacity could be promised to. */
const SPREAD = 0.3;
/** Random spread of a promised time, as a share of it. */
const PROMISE_JITTER = 0.2;

/**
 * Draws the time after which a caller should return whose request was shed at random by upstreams with
 * free slots: soon, since its next request is as likely to be served at any time, and its first attempt
 * costs no retry budget.
 */
export function drawReturnAfterShedMs(
  usualAttemptMs: number,
  timeLeftMs: number,
  random: RandomSource,
): number {
  const latestMs = Math.min(usualAttemptMs, timeLeftMs * MAX_RETRY_AFTER_SHARE);
  return Math.max(MIN_RETRY_AFTER_MS, random.next() * latestMs);
}

export class ReturnTimes {
  readonly #random: RandomSource;

  /** Up to when the expected capacity has been promised. */
  #promisedUntil = Number.NEGATIVE_INFINITY;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Assigns the time after which a refused caller should return, in milliseconds. */
  assign(state: QueueState, timeLeftMs: number, now: number): number {
    const latestMs = timeLeftMs * MAX_RETRY_AFTER_SHARE;
    const freeFrom = Math.max(this.#promisedUntil, now + computeExpectedWaitMs(state));
    const slotMs =
      state.slots === 0
        ? Number.POSITIVE_INFINITY
        : state.meanAttemptMs / (state.slots * computeFreeSlotShare(state));
    const returnMs = freeFrom + slotMs - now;
    if (returnMs > latestMs) {
      const early = this.#random.next() * SPREAD;
      return Math.max(MIN_RETRY_AFTER_MS, latestMs * (1 - early));
    }
    this.#promisedUntil = freeFrom + slotMs;
    const jitter = 1 + (this.#random.next() - 0.5) * PROMISE_JITTER;
    return Math.max(MIN_RETRY_AFTER_MS, Math.min(returnMs * jitter, latestMs));
  }
}
