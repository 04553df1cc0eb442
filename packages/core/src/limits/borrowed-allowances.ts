/**
 * The borrower's side of fleet-wide plan limits: small amounts that were lent and not yet spent.
 * What is not spent lapses, so that a daemon which loses a customer does not hoard its allowance.
 */
import { Table } from '../tables/index.js';
import type { BucketRate } from './token-bucket.js';

type Borrowed = { readonly id: string; readonly tokens: number; readonly borrowedAt: number };

const LOAN_SECONDS = 0.04;
const BORROWED_LIFE_MS = 2000;

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
