/**
 * A retry budget that bounds the retries of the whole fleet without communication between daemons.
 *
 * Load pattern: all upstreams of a service refuse requests, so that every daemon wants to retry all
 * of its requests at once. Users allow a number of retries per request of a sliding window, plus a
 * fixed slack for the fleet. Each daemon applies the ratio to the requests that it has accepted
 * itself, and takes an equal share of the slack among all daemons that may exist. The sum stays
 * within the bound through partitions and restarts.
 */
import type { Clock } from '../runtime/index.js';

export type SlidingWindowRetryBudgetSettings = {
  readonly windowMs: number;
  /** Retries allowed for each request accepted within the window. */
  readonly ratio: number;
  /** Additional retries per window for the whole fleet. */
  readonly fleetSlack: number;
  /** Counts the daemons that share the slack: all that may accept requests. */
  readonly countDaemons: () => number;
};

/** Number of buckets that count the events of one window. */
const BUCKETS_PER_WINDOW = 20;
/** Share of the bound that is used, since counted windows and those of the bound may not align. */
const SAFETY_FACTOR = 0.9;

type Bucket = { readonly index: number; readonly requests: number; readonly retries: number };

export class SlidingWindowRetryBudget {
  readonly #clock: Clock;

  readonly #settings: SlidingWindowRetryBudgetSettings;

  #buckets: readonly Bucket[] = [];

  constructor(settings: SlidingWindowRetryBudgetSettings, clock: Clock) {
    this.#settings = settings;
    this.#clock = clock;
  }

  recordRequest(): void {
    this.#add(1, 0);
  }

  /** Takes one retry out of the budget; returns false if none is left. */
  takeRetry(): boolean {
    if (this.countRetriesLeft() < 1) return false;
    this.#add(0, 1);
    return true;
  }

  /** Returns the number of retries left; it may be a fraction, or negative. */
  countRetriesLeft(): number {
    const { allowed, used } = this.#computeUsage();
    return allowed - used;
  }

  /** Returns the share of the budget that is left, from 0 to 1. */
  getShareLeft(): number {
    const { allowed, used } = this.#computeUsage();
    return allowed < 1 ? 0 : Math.max(0, (allowed - used) / allowed);
  }

  #computeUsage(): { readonly allowed: number; readonly used: number } {
    const { ratio, fleetSlack, countDaemons } = this.#settings;
    const buckets = this.#listCurrentBuckets();
    const requests = buckets.reduce((sum, bucket) => sum + bucket.requests, 0);
    const used = buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
    return { allowed: (requests * ratio + fleetSlack / countDaemons()) * SAFETY_FACTOR, used };
  }

  #computeBucketIndex(): number {
    return Math.floor((this.#clock.now() * BUCKETS_PER_WINDOW) / this.#settings.windowMs);
  }

  #listCurrentBuckets(): readonly Bucket[] {
    const oldestIndex = this.#computeBucketIndex() - BUCKETS_PER_WINDOW;
    return this.#buckets.filter(({ index }) => index >= oldestIndex);
  }

  #add(requests: number, retries: number): void {
    const index = this.#computeBucketIndex();
    const last = this.#buckets.at(-1);
    if (last?.index === index) {
      const merged = { index, requests: last.requests + requests, retries: last.retries + retries };
      this.#buckets = [...this.#buckets.slice(0, -1), merged];
      return;
    }
    this.#buckets = [...this.#listCurrentBuckets(), { index, requests, retries }];
  }
}
