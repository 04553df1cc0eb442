/**
 * A token bucket as a row and the functions over it. Tokens are weight units.
 */

export type TokenBucket = {
  readonly id: string;
  readonly tokens: number;
  readonly updatedAt: number;
};

export type BucketRate = {
  readonly ratePerSecond: number;
  readonly burst: number;
};

const MS_PER_SECOND = 1000;

/** Adds what the rate has earned since the last update. */
export function refillBucket(bucket: TokenBucket, rate: BucketRate, now: number): TokenBucket {
  const earned = ((now - bucket.updatedAt) / MS_PER_SECOND) * rate.ratePerSecond;
  return { ...bucket, tokens: Math.min(rate.burst, bucket.tokens + earned), updatedAt: now };
}

/** Seconds until the bucket holds `wanted` tokens. */
export function computeWaitSeconds(bucket: TokenBucket, rate: BucketRate, wanted: number): number {
  return Math.max(0, (wanted - bucket.tokens) / rate.ratePerSecond);
}
