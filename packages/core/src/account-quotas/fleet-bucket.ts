/**
 * The tokens that are left of an account's quota, as one daemon sees them. Its own admissions and
 * those that others report are taken out; the count may become negative and is then paid back.
 *
 * Load pattern: a flood comes in through all daemons while some of them cannot hear the others. The
 * part of the tokens that belongs to daemons that are not heard is put aside, from the tokens at
 * hand when they fell silent and from every refill. When they are heard again, what they have
 * admitted meanwhile is taken from there, and the rest returns.
 */
import type { BucketRate } from '../limits/index.js';
import type { QuotaLimits } from './quota-limits.js';

/** Daemons count as silent only after this time, in which this one spent as if they were heard. */
const SPENT_SPAN_MS = 400;
const MS_PER_SECOND = 1000;

export class FleetBucket {
  #rate: BucketRate;

  #limits: QuotaLimits;

  #tokens = 0;

  /** Tokens put aside for daemons that are not heard. */
  #reserved = 0;

  #visiblePart = 1;

  #updatedAt: number;

  /** Tokens spent in the current span and in the one before. */
  #spans = { startedAt: 0, current: 0, previous: 0 };

  /** Starts without tokens: the daemon does not know what others have spent. */
  constructor(rate: BucketRate, limits: QuotaLimits, now: number) {
    this.#rate = rate;
    this.#limits = limits;
    this.#updatedAt = now;
  }

  /** Returns the tokens that are left; below zero if more were spent than had accrued. */
  getTokens(now: number): number {
    this.refill(now);
    return this.#tokens;
  }

  /** Tokens that accrue per millisecond to the part of the fleet that is heard. */
  get refillPerMs(): number {
    return (this.#rate.ratePerSecond / MS_PER_SECOND) * this.#visiblePart;
  }

  refill(now: number): void {
    const perMs = this.#rate.ratePerSecond / MS_PER_SECOND;
    const accrued = Math.max(0, now - this.#updatedAt) * perMs;
    this.#updatedAt = now;
    this.#reserved += accrued * (1 - this.#visiblePart);
    this.#setTokens(this.#tokens + accrued * this.#visiblePart);
  }

  /** Applies a changed quota; the tokens that are left remain, up to the new capacity. */
  setRate(rate: BucketRate, limits: QuotaLimits, now: number): void {
    this.refill(now);
    this.#rate = rate;
    this.#limits = limits;
    this.#reserved = Math.min(this.#reserved, limits.capacity);
    this.#setTokens(this.#tokens);
  }

  /** Sets the part of the fleet that is heard, from 0 to 1. */
  setVisiblePart(part: number, now: number): void {
    const previous = this.#visiblePart;
    if (part === previous) return;
    this.refill(now);
    this.#visiblePart = part;
    if (part < previous) {
      const total = Math.max(0, this.#tokens) + this.#getLatelySpent(now);
      const aside = total * (1 - part / previous);
      this.#reserved += aside;
      this.#tokens -= aside;
    } else {
      const returned = this.#reserved * ((part - previous) / (1 - previous));
      this.#reserved -= returned;
      this.#setTokens(this.#tokens + returned);
    }
  }

  /** Takes tokens for requests that ran here or elsewhere; negative ones are given back. */
  spend(count: number, now: number): void {
    this.refill(now);
    this.#ageSpans(now);
    this.#spans = { ...this.#spans, current: Math.max(0, this.#spans.current + count) };
    this.#setTokens(this.#tokens - count);
  }

  /** Takes tokens for requests of a daemon that was not heard meanwhile. */
  spendLate(count: number, now: number): void {
    const fromReserved = Math.min(Math.max(0, count), this.#reserved);
    this.#reserved -= fromReserved;
    this.spend(count - fromReserved, now);
  }

  /** Replaces the tokens by what another daemon knows. */
  setTokens(tokens: number, now: number): void {
    this.refill(now);
    this.#setTokens(tokens);
  }

  /** Forgets everything, as after a start. */
  reset(now: number): void {
    this.#tokens = Math.min(0, this.getTokens(now));
    this.#reserved = 0;
  }

  #setTokens(tokens: number): void {
    const { capacity, maxDebt } = this.#limits;
    this.#tokens = Math.max(-maxDebt, Math.min(capacity, tokens));
  }

  #getLatelySpent(now: number): number {
    this.#ageSpans(now);
    return this.#spans.current + this.#spans.previous;
  }

  #ageSpans(now: number): void {
    const { startedAt, current } = this.#spans;
    if (now < startedAt + SPENT_SPAN_MS) return;
    const previous = now < startedAt + 2 * SPENT_SPAN_MS ? current : 0;
    this.#spans = { startedAt: now, current: 0, previous };
  }
}
