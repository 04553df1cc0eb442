/**
 * Log-likelihood ratios of "this upstream is sick" against "it is like the others". For elapsed
 * times the rank among the other upstreams' times is the observation: uniform if healthy, crowded
 * at the slow end if sick. A request that has not come back counts by its age alone, which is the
 * censored form of the same ratio, so a stall is seen before any timeout.
 */

const SICK_SHAPE = 0.3;
/** How much less likely a full stall is than slowness, as a logarithm. */
const STALL_RARITY = 2;
const MAX_COMPLETED_RATIO = 4;
const MAX_PENDING_RATIO = 12;
const MIN_FAILURE_RATE = 0.004;
const MAX_FAILURE_RATE = 0.4;
const SICK_FAILURE_RATE = 0.5;
const SICK_FAILURE_FACTOR = 3;
const MAX_SICK_FAILURE_RATE = 0.95;

/** Ratio for a request that took long enough to be outlived by this share of its peers. */
export function computeCompletedRatio(survival: number): number {
  const ratio = Math.log(SICK_SHAPE) + (SICK_SHAPE - 1) * Math.log(survival);
  return Math.min(MAX_COMPLETED_RATIO, ratio);
}

/** Ratio for a request still unanswered at an age that this share of its peers reach. */
export function computePendingRatio(survival: number): number {
  const slow = (SICK_SHAPE - 1) * Math.log(survival);
  const stalled = -Math.log(survival) - STALL_RARITY;
  return Math.min(MAX_PENDING_RATIO, Math.max(slow, stalled));
}

/** Ratio of one failure or success where the other upstreams fail at `failureRate`. */
export function computeFailureRatio(failed: boolean, failureRate: number): number {
  const healthy = Math.min(MAX_FAILURE_RATE, Math.max(MIN_FAILURE_RATE, failureRate));
  const sick = Math.min(
    MAX_SICK_FAILURE_RATE,
    Math.max(SICK_FAILURE_RATE, healthy * SICK_FAILURE_FACTOR),
  );
  return failed ? Math.log(sick / healthy) : Math.log((1 - sick) / (1 - healthy));
}
