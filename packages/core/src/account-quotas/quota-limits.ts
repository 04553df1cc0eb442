/**
 * What may be granted of an account's quota ahead of the reports about it.
 *
 * The bound is (rate x window + burst) x (1 + overshoot) + slack requests in any window. A bucket of
 * `capacity` tokens that all daemons saw alike would admit rate x window + capacity. What daemons
 * grant before the others have heard of it comes on top: `maxGranted` in proportion to demand, and one
 * token at each of `maxSingleTakers` daemons. The overshoot is divided between the capacity and
 * `maxGranted`; half of the slack is for single tokens, the other half for lost reports.
 */
import type { BucketRate } from '../limits/index.js';

/** Bounds that all quotas of a fleet have in common. */
export type QuotaBounds = {
  readonly windowMs: number;
  /** Share by which the requests of an account may exceed its quota within the window. */
  readonly overshoot: number;
  /** Requests of an account that may come on top within the window. */
  readonly slack: number;
};

export type QuotaLimits = {
  /** Most tokens that the bucket holds. */
  readonly capacity: number;
  /** Most tokens that all daemons together may grant between their reports. */
  readonly maxGranted: number;
  /** Daemons that may take one token where their share is smaller. */
  readonly maxSingleTakers: number;
  /** A debt that is older than the window need not be paid back. */
  readonly maxDebt: number;
};

/**
 * Tokens that accrue while a daemon waits for the reports of the others would be lost to a full
 * bucket of a small burst. The capacity covers about four rounds of reports.
 */
const ROUNDS_MS = 250;
/** The bounds may be zero, which no daemon could keep and still serve anybody. */
const MIN_GRANTED_MS = 100;
const MIN_SINGLE_TAKERS = 3;
const MS_PER_SECOND = 1000;

export function computeQuotaLimits(
  { ratePerSecond, burst }: BucketRate,
  { windowMs, overshoot, slack }: QuotaBounds,
): QuotaLimits {
  const perMs = ratePerSecond / MS_PER_SECOND;
  const allowedOver = overshoot * (perMs * windowMs + burst);
  const extra = Math.min(allowedOver / 2, perMs * ROUNDS_MS);
  return {
    capacity: Math.max(1, burst + extra),
    maxGranted: Math.max(allowedOver - extra, perMs * MIN_GRANTED_MS, 1),
    maxSingleTakers: Math.max(MIN_SINGLE_TAKERS, Math.floor(slack / 2)),
    maxDebt: perMs * windowMs,
  };
}
