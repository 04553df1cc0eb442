/**
 * A token bucket and the functions that compute its state. A request costs as many tokens as the
 * weight of its kind.
 */

export type TokenBucket = {
  readonly id: string;
  readonly tokens: number;
  /** Monotonic time in milliseconds. */
  readonly updatedAt: number;
};

export type BucketRate = {
  /** Tokens added per second. */
  readonly ratePerSecond: number;
  /** Most tokens that the bucket can hold. */
  readonly burst: number;
};

const MS_PER_SECOND = 1000;

/** Adds the tokens that have accrued since the last update, up to the burst. */
export function refillBucket(bucket: TokenBucket, rate: BucketRate, now: number): TokenBucket {
  const earned = ((now - bucket.updatedAt) / MS_PER_SECOND) * rate.ratePerSecond;
  return { ...bucket, tokens: Math.min(rate.burst, bucket.tokens + earned), updatedAt: now };
}

/** Computes the seconds until the bucket holds `wanted` tokens. */
export function computeWaitSeconds(bucket: TokenBucket, rate: BucketRate, wanted: number): number {
  return Math.max(0, (wanted - bucket.tokens) / rate.ratePerSecond);
}
