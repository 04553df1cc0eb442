/**
 * The borrower's side of fleet-wide plan rates: tokens that were borrowed and not yet spent.
 * Unspent tokens expire, so that a daemon that no longer gets a customer's requests does not hold
 * on to the customer's tokens.
 */
import { Table } from '../tables/index.js';
import type { BucketRate } from './token-bucket.js';

type CustomerTokens = { readonly id: string; readonly tokens: number; readonly borrowedAt: number };

/** A loan covers this much time at the customer's full rate. */
const LOAN_PERIOD_SECONDS = 0.04;
const BORROWED_TTL_MS = 2000;

/** Tokens that this daemon has borrowed and not yet spent, for each customer. */
export class BorrowedTokens {
  readonly #customers = new Table<CustomerTokens>();

  get size(): number {
    return this.#customers.size;
  }

  /** Spends `weight` tokens; returns false if the customer has too few unexpired tokens here. */
  spend(customer: string, weight: number, now: number): boolean {
    const row = this.#customers.get(customer);
    if (!row || row.tokens < weight || now - row.borrowedAt > BORROWED_TTL_MS) return false;
    this.#customers.put({ ...row, tokens: row.tokens - weight });
    return true;
  }

  add(customer: string, tokens: number, now: number): void {
    const row = this.#customers.get(customer);
    const unspent = row && now - row.borrowedAt <= BORROWED_TTL_MS ? row.tokens : 0;
    this.#customers.put({ id: customer, tokens: unspent + tokens, borrowedAt: now });
  }

  runTick(now: number): void {
    this.#customers
      .list()
      .filter((row) => now - row.borrowedAt > BORROWED_TTL_MS)
      .forEach((row) => this.#customers.remove(row.id));
  }
}

/** Computes how many tokens to borrow when `weight` tokens are needed. */
export function computeLoanSize(weight: number, rate: BucketRate): number {
  return Math.max(weight, rate.ratePerSecond * LOAN_PERIOD_SECONDS);
}
