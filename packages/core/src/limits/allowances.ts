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

type Borrowed = { readonly id: string; readonly tokens: number; readonly borrowedAt: number };

const LOAN_SECONDS = 0.04;
const BORROWED_LIFE_MS = 2000;
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

/** Tokens that this daemon has borrowed and not yet spent. */
export class BorrowedAllowances {
  readonly #borrowed = new Table<Borrowed>();

  get size(): number {
    return this.#borrowed.size;
  }

  /** Spends tokens if enough are at hand. */
  spend(customer: string, weight: number, now: number): boolean {
    const row = this.#borrowed.get(customer);
    if (!row || row.tokens < weight || now - row.borrowedAt > BORROWED_LIFE_MS) return false;
    this.#borrowed.put({ ...row, tokens: row.tokens - weight });
    return true;
  }

  add(customer: string, tokens: number, now: number): void {
    const row = this.#borrowed.get(customer);
    const kept = row && now - row.borrowedAt <= BORROWED_LIFE_MS ? row.tokens : 0;
    this.#borrowed.put({ id: customer, tokens: kept + tokens, borrowedAt: now });
  }

  runTick(now: number): void {
    this.#borrowed
      .list()
      .filter((row) => now - row.borrowedAt > BORROWED_LIFE_MS)
      .forEach((row) => this.#borrowed.remove(row.id));
  }
}

/** How many tokens to ask for when `weight` are needed. */
export function computeLoanSize(weight: number, rate: BucketRate): number {
  return Math.max(weight, rate.ratePerSecond * LOAN_SECONDS);
}
