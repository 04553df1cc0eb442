/**
 * Admission control for the request queue: decides whether a request that has to wait can be served.
 *
 * Load pattern: for seconds, more requests arrive than all slots can run. The slots limit the
 * throughput; a longer queue does not raise it and only makes every answer late.
 *
 * A request is admitted if it is expected to meet its target latency. If it is expected to be late,
 * later arrivals that can still be in time are served first, so that it is admitted only if the
 * slots they leave free suffice. A request that cannot be served is refused at once, while its
 * caller still has time to retry.
 */
import type { RandomSource } from '../runtime/index.js';

export type QueueState = {
  /** Number of queued requests ahead. */
  readonly waiting: number;
  /** Number of slots of the upstreams that may be used. */
  readonly slots: number;
  /** Mean time that an attempt occupies a slot, in milliseconds. */
  readonly meanAttemptMs: number;
  /** Requests that arrive per millisecond. */
  readonly arrivalsPerMs: number;
};

/** The time that a request has left, in milliseconds. */
export type RemainingTime = {
  /** Until the target latency of the route is exceeded; negative afterwards. */
  readonly targetLeftMs: number;
  /** Until the latest time at which the request may be sent. */
  readonly timeLeftMs: number;
};

/** Callers honour a Retry-After only up to this share of the time that they have left. */
export const MAX_RETRY_AFTER_SHARE = 1 / 3;
/** Width of the random spread of a Retry-After, as a share of the expected wait. */
const RETRY_AFTER_JITTER = 0.5;
export const MIN_RETRY_AFTER_MS = 50;
/** Minimum share of the slots assumed free for late requests, even if arrivals seem to need all. */
const MIN_FREE_SLOT_SHARE = 0.1;

/** Computes the expected time until a request that is queued now gets a slot, in milliseconds. */
export function computeExpectedWaitMs({ waiting, slots, meanAttemptMs }: QueueState): number {
  if (slots === 0) return Number.POSITIVE_INFINITY;
  return ((waiting + 1) / slots) * meanAttemptMs;
}

/** Draws the time after which a refused caller should retry, in milliseconds. */
export function drawRetryAfterMs(
  expectedWaitMs: number,
  timeLeftMs: number,
  random: RandomSource,
): number {
  const jitter = 1 + (random.next() - 0.5) * RETRY_AFTER_JITTER;
  const latestMs = timeLeftMs * MAX_RETRY_AFTER_SHARE;
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(expectedWaitMs * jitter, latestMs));
}

/** Computes the share of the slots that future arrivals leave free, from 0 to 1. */
export function computeFreeSlotShare({ slots, meanAttemptMs, arrivalsPerMs }: QueueState): number {
  if (slots === 0) return MIN_FREE_SLOT_SHARE;
  return Math.max(MIN_FREE_SLOT_SHARE, 1 - (arrivalsPerMs * meanAttemptMs) / slots);
}

/** Whether a request should be queued, or stay queued; `waiting` counts those ahead. */
export function isServable(
  state: QueueState,
  { targetLeftMs, timeLeftMs }: RemainingTime,
): boolean {
  const expectedWaitMs = computeExpectedWaitMs(state);
  const isInTime = expectedWaitMs + state.meanAttemptMs <= targetLeftMs;
  const waitMs = isInTime ? expectedWaitMs : expectedWaitMs / computeFreeSlotShare(state);
  return waitMs + state.meanAttemptMs <= timeLeftMs;
}

/** Accepted by a request that need not wait: the maximum failure probability of a trusted upstream. */
const MIN_ACCEPTED_PROBABILITY = 0.2;
/** Above this failure probability, a clean refusal is worth more to a caller than an attempt. */
const MAX_ACCEPTED_PROBABILITY = 0.6;

/**
 * Computes the highest failure probability, from 0 to 1, at which it is better to send a request now
 * than to let it wait. It grows with the share of the remaining time that is needed to wait for a
 * trusted upstream and to run there.
 */
export function computeMaxFailureProbability(state: QueueState, timeLeftMs: number): number {
  const neededMs = computeExpectedWaitMs(state) + state.meanAttemptMs;
  const timeShare = timeLeftMs <= 0 ? 1 : Math.min(1, neededMs / timeLeftMs);
  return (
    MIN_ACCEPTED_PROBABILITY + timeShare * (MAX_ACCEPTED_PROBABILITY - MIN_ACCEPTED_PROBABILITY)
  );
}
