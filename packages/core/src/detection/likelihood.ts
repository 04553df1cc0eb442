/**
 * Natural-log likelihood ratios of "this upstream is unhealthy" against "it is like the others".
 * An elapsed time is observed as its survival share: the share of requests to the other upstreams
 * that take at least as long. The share is uniform for a healthy upstream and concentrated near 0,
 * the slow end, for an unhealthy one. A pending request is a censored observation: it counts by its
 * age, so a stall is detected before any timeout.
 */

/** Shape `a` of the Beta(a, 1) distribution of survival shares at an unhealthy upstream. */
const UNHEALTHY_SHAPE = 0.3;
/** Natural log of how much less likely a complete stall is than a slowdown. */
const STALL_LOG_PENALTY = 2;
const MAX_COMPLETED_RATIO = 4;
const MAX_PENDING_RATIO = 12;
const MIN_HEALTHY_FAILURE_RATE = 0.004;
const MAX_HEALTHY_FAILURE_RATE = 0.4;
const MIN_UNHEALTHY_FAILURE_RATE = 0.5;
const UNHEALTHY_FAILURE_FACTOR = 3;
const MAX_UNHEALTHY_FAILURE_RATE = 0.95;

/** Ratio for a completed request, where `survival` is the share of other requests that take longer. */
export function computeCompletedRatio(survival: number): number {
  const ratio = Math.log(UNHEALTHY_SHAPE) + (UNHEALTHY_SHAPE - 1) * Math.log(survival);
  return Math.min(MAX_COMPLETED_RATIO, ratio);
}

/** Ratio for a pending request, where `survival` is the share of other requests that reach its age. */
export function computePendingRatio(survival: number): number {
  const slow = (UNHEALTHY_SHAPE - 1) * Math.log(survival);
  const stalled = -Math.log(survival) - STALL_LOG_PENALTY;
  return Math.min(MAX_PENDING_RATIO, Math.max(slow, stalled));
}

/** Ratio for one failure or success, where the other upstreams fail at `failureRate`. */
export function computeFailureRatio(failed: boolean, failureRate: number): number {
  const healthy = Math.min(
    MAX_HEALTHY_FAILURE_RATE,
    Math.max(MIN_HEALTHY_FAILURE_RATE, failureRate),
  );
  const unhealthy = Math.min(
    MAX_UNHEALTHY_FAILURE_RATE,
    Math.max(MIN_UNHEALTHY_FAILURE_RATE, healthy * UNHEALTHY_FAILURE_FACTOR),
  );
  return failed ? Math.log(unhealthy / healthy) : Math.log((1 - unhealthy) / (1 - healthy));
}
