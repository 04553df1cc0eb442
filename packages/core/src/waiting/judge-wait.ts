/**
 * Whether a request that has to wait can be served at all.
 *
 * Load pattern: more requests arrive than all slots can run, for seconds. A request whose turn
 * would come after its time is up is refused at once, while its caller still has time to come
 * back; the caller is told when room is expected, scattered so that those who were sent away
 * together do not return together.
 */
import type { RandomSource } from '../runtime/index.js';

export type WaitState = {
  /** Requests that wait ahead. */
  readonly waiting: number;
  /** Slots of the upstreams that may be used. */
  readonly slots: number;
  /** Mean time that a request holds a slot, in milliseconds. */
  readonly meanAttemptMs: number;
};

export type WaitVerdict =
  { readonly kind: 'wait' } | { readonly kind: 'refuse'; readonly retryAfterMs: number };

/** Callers honour a Retry-After up to this share of the time they have left. */
const MAX_RETRY_SHARE = 1 / 3;
/** Returns are scattered over this share of the expected wait. */
const RETURN_SPREAD = 0.5;
const MIN_RETRY_MS = 50;

/** Time until a request that joins the line now is expected to get a slot, in milliseconds. */
export function computeExpectedWaitMs({ waiting, slots, meanAttemptMs }: WaitState): number {
  if (slots === 0) return Number.POSITIVE_INFINITY;
  return ((waiting + 1) / slots) * meanAttemptMs;
}

/** Draws when a refused caller should come back, in milliseconds. */
export function drawRetryAfterMs(
  expectedWaitMs: number,
  timeLeftMs: number,
  random: RandomSource,
): number {
  const spread = 1 + (random.next() - 0.5) * RETURN_SPREAD;
  const latest = timeLeftMs * MAX_RETRY_SHARE;
  return Math.max(MIN_RETRY_MS, Math.min(expectedWaitMs * spread, latest));
}

/**
 * Judges whether a request with so much time left should join the line, or stay in it: `waiting`
 * counts those ahead of it.
 */
export function judgeWait(state: WaitState, timeLeftMs: number, random: RandomSource): WaitVerdict {
  const expected = computeExpectedWaitMs(state);
  if (expected + state.meanAttemptMs <= timeLeftMs) return { kind: 'wait' };
  return { kind: 'refuse', retryAfterMs: drawRetryAfterMs(expected, timeLeftMs, random) };
}

/** Risk taken by a request that does not have to wait: that of an upstream that is trusted. */
const LEAST_RISK = 0.2;
/** A clean refusal is worth more to a caller than a likelier failure than this. */
const MOST_RISK = 0.6;

/**
 * The highest probability of failure at which a request is better sent now than left to wait: it
 * grows with the part of its time that waiting for a trusted upstream would take.
 */
export function computeMaxRisk(state: WaitState, timeLeftMs: number): number {
  const needed = computeExpectedWaitMs(state) + state.meanAttemptMs;
  const pressure = timeLeftMs <= 0 ? 1 : Math.min(1, needed / timeLeftMs);
  return LEAST_RISK + pressure * (MOST_RISK - LEAST_RISK);
}
