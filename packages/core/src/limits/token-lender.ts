/**
 * Enforces plan rates across the fleet without shared state. For each customer, hashing chooses
 * one daemon that holds the token bucket; the other daemons borrow small numbers of tokens from it.
 * A daemon that cannot reach the lender lends to itself, but only the share of the rate that one
 * daemon of the full roster has. The sides of a partition together therefore stay near the limit.
 */
import { Table } from '../tables/index.js';
import { computeWaitSeconds, refillBucket } from './token-bucket.js';
import type { BucketRate, TokenBucket } from './token-bucket.js';

export type Loan = {
  /** Number of tokens lent; 0 if there were too few. */
  readonly granted: number;
  /** Seconds until the needed tokens are available; 0 if they were lent. */
  readonly retryAfterSeconds: number;
};

const IDLE_BUCKET_TTL_MS = 120_000;

/** The token buckets that this daemon lends from, one for each customer. */
export class TokenLender {
  readonly #buckets = new Table<TokenBucket>();

  get size(): number {
    return this.#buckets.size;
  }

  /**
   * Lends at least `needed` tokens and up to `wanted`, or none. A new bucket starts full. `share`,
   * from 0 to 1, reduces the rate and the burst when only part of the roster is reachable.
   */
  lend(
    customer: string,
    rate: BucketRate,
    request: { readonly needed: number; readonly wanted: number; readonly share: number },
    now: number,
  ): Loan {
    const sharedRate = {
      ratePerSecond: rate.ratePerSecond * request.share,
      burst: Math.max(request.needed, rate.burst * request.share),
    };
    const known = this.#buckets.get(customer);
    const bucket = refillBucket(
      known ?? { id: customer, tokens: sharedRate.burst, updatedAt: now },
      sharedRate,
      now,
    );
    const granted = bucket.tokens >= request.needed ? Math.min(request.wanted, bucket.tokens) : 0;
    this.#buckets.put({ ...bucket, tokens: bucket.tokens - granted });
    return { granted, retryAfterSeconds: computeWaitSeconds(bucket, sharedRate, request.needed) };
  }

  /**
   * Evicts buckets that have been idle for IDLE_BUCKET_TTL_MS. A bucket idle for that long is taken
   * to be full again, which is how a new bucket starts.
   */
  runTick(now: number): void {
    this.#buckets
      .list()
      .filter((bucket) => now - bucket.updatedAt > IDLE_BUCKET_TTL_MS)
      .forEach((bucket) => this.#buckets.remove(bucket.id));
  }
}
