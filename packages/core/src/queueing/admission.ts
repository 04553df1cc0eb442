/**
 * Whether a request that has to wait can be served at all.
 *
 * Load pattern: more requests arrive than all slots can run, for seconds. Throughput is what the
 * slots give, however long the line; a long line only makes every answer late. A request joins
 * where its turn comes while its answer is still in time. Where it would be late, those that arrive
 * after it and can be in time go first, so that it joins only if the room they leave is enough. Who
 * cannot be served is refused at once, while the caller still has time to come back, and is told
 * when room is expected, scattered so that those who were sent away together do not return together.
 */
import type { RandomSource } from '../runtime/index.js';

export type QueueState = {
  /** Requests that wait ahead. */
  readonly waiting: number;
  /** Slots of the upstreams that may be used. */
  readonly slots: number;
  /** Mean time that a request holds a slot, in milliseconds. */
  readonly meanAttemptMs: number;
  /** Requests that arrive per millisecond. */
  readonly arrivalsPerMs: number;
};

/** What is left of a request's time, in milliseconds. */
export type RemainingTime = {
  /** Until an answer loses a part of its value; negative once that has passed. */
  readonly targetLeftMs: number;
  /** Until the last moment at which the request may be sent. */
  readonly timeLeftMs: number;
};

export type AdmissionDecision =
  { readonly kind: 'wait' } | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Callers honour a Retry-After up to this share of the time they have left. */
const MAX_RETRY_AFTER_SHARE = 1 / 3;
/** Returns are scattered over this share of the expected wait. */
const RETRY_AFTER_JITTER = 0.5;
const MIN_RETRY_AFTER_MS = 50;
/** Share of the room that late requests find even where arrivals seem to take all of it. */
const MIN_FREE_SLOT_SHARE = 0.1;

/** Time until a request that joins the line now is expected to get a slot, in milliseconds. */
export function computeExpectedWaitMs({ waiting, slots, meanAttemptMs }: QueueState): number {
  if (slots === 0) return Number.POSITIVE_INFINITY;
  return ((waiting + 1) / slots) * meanAttemptMs;
}

/** Draws when a refused caller should come back, in milliseconds. */
export function drawRetryAfterMs(
  expectedWaitMs: number,
  timeLeftMs: number,
  random: RandomSource,
): number {
  const jitter = 1 + (random.next() - 0.5) * RETRY_AFTER_JITTER;
  const latestMs = timeLeftMs * MAX_RETRY_AFTER_SHARE;
  return Math.max(MIN_RETRY_AFTER_MS, Math.min(expectedWaitMs * jitter, latestMs));
}

/** Share of the slots that requests which arrive from now on leave free. */
function computeFreeSlotShare({ slots, meanAttemptMs, arrivalsPerMs }: QueueState): number {
  if (slots === 0) return MIN_FREE_SLOT_SHARE;
  return Math.max(MIN_FREE_SLOT_SHARE, 1 - (arrivalsPerMs * meanAttemptMs) / slots);
}

/** Judges whether a request should join the line, or stay in it: `waiting` counts those ahead. */
export function checkAdmission(
  state: QueueState,
  { targetLeftMs, timeLeftMs }: RemainingTime,
  random: RandomSource,
): AdmissionDecision {
  const expectedWaitMs = computeExpectedWaitMs(state);
  const isInTime = expectedWaitMs + state.meanAttemptMs <= targetLeftMs;
  const waitMs = isInTime ? expectedWaitMs : expectedWaitMs / computeFreeSlotShare(state);
  if (waitMs + state.meanAttemptMs <= timeLeftMs) return { kind: 'wait' };
  return { kind: 'refuse', retryAfterMs: drawRetryAfterMs(expectedWaitMs, timeLeftMs, random) };
}

/** Risk taken by a request that does not have to wait: that of an upstream that is trusted. */
const MIN_ACCEPTED_PROBABILITY = 0.2;
/** A clean refusal is worth more to a caller than a likelier failure than this. */
const MAX_ACCEPTED_PROBABILITY = 0.6;

/**
 * The highest probability of failure at which a request is better sent now than left to wait: it
 * grows with the part of its time that waiting for a trusted upstream would take.
 */
export function computeMaxFailureProbability(state: QueueState, timeLeftMs: number): number {
  const neededMs = computeExpectedWaitMs(state) + state.meanAttemptMs;
  const timeShare = timeLeftMs <= 0 ? 1 : Math.min(1, neededMs / timeLeftMs);
  return (
    MIN_ACCEPTED_PROBABILITY + timeShare * (MAX_ACCEPTED_PROBABILITY - MIN_ACCEPTED_PROBABILITY)
  );
}
