/**
 * Fleet-wide plan limits without shared state. One daemon, placed by hash, lends out each
 * customer's allowance; the others borrow small amounts and spend them. A daemon that cannot
 * reach the lender lends to itself from its share of the full roster, so that the sides of a
 * partition together stay near the limit.
 */
import { Table } from '../tables/index.js';
import { computeWaitSeconds, refillBucket } from './token-bucket.js';
import type { BucketRate, TokenBucket } from './token-bucket.js';

export type Loan = {
  readonly granted: number;
  readonly retryAfterSeconds: number;
};

const IDLE_LIFE_MS = 120_000;

/** Buckets that this daemon lends from. */
export class AllowanceLender {
  readonly #buckets = new Table<TokenBucket>();

  get size(): number {
    return this.#buckets.size;
  }

  /**
   * Lends at least `needed` tokens and up to `wanted`, or nothing. A bucket seen for the first
   * time starts full; `share` of the rate is lent where only part of the roster is in sight.
   */
  lend(
    customer: string,
    rate: BucketRate,
    request: { readonly needed: number; readonly wanted: number; readonly share: number },
    now: number,
  ): Loan {
    const shared = {
      ratePerSecond: rate.ratePerSecond * request.share,
      burst: Math.max(request.needed, rate.burst * request.share),
    };
    const known = this.#buckets.get(customer);
    const bucket = refillBucket(
      known ?? { id: customer, tokens: shared.burst, updatedAt: now },
      shared,
      now,
    );
    const granted = bucket.tokens >= request.needed ? Math.min(request.wanted, bucket.tokens) : 0;
    this.#buckets.put({ ...bucket, tokens: bucket.tokens - granted });
    return { granted, retryAfterSeconds: computeWaitSeconds(bucket, shared, request.needed) };
  }

  /** Forgets buckets that have been full and unused for a while. */
  runTick(now: number): void {
    this.#buckets
      .list()
      .filter((bucket) => now - bucket.updatedAt > IDLE_LIFE_MS)
      .forEach((bucket) => this.#buckets.remove(bucket.id));
  }
}
