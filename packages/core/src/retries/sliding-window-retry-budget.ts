/**
 * A bound on repeats for the fleet as a whole that needs no talk between daemons.
 *
 * Load pattern: a service that turns requests away everywhere, so that every daemon wants to
 * repeat all of its requests at once. The users allow so many repeats for each request of a
 * window, and some more. Each daemon takes the first part from the requests that it has itself
 * taken in, and of the second part the share of one daemon among all that may exist; whatever the
 * partitions and restarts, the sum stays within the bound.
 */
import type { Clock } from '../runtime/index.js';

export type SlidingWindowRetryBudgetSettings = {
  readonly windowMs: number;
  /** Repeats allowed for each request taken in within the window. */
  readonly ratio: number;
  /** Repeats allowed to the whole fleet on top. */
  readonly fleetSlack: number;
  /** Counts the daemons among which the slack is divided: all that may take requests in. */
  readonly countDaemons: () => number;
};

/** Windows slide: time is cut into so many parts for counting. */
const BUCKETS_PER_WINDOW = 20;
/** Keeps clear of the bound where windows of the bound and of the count do not match. */
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

  /** Takes a repeat out of the allowance if there is one left. */
  takeRetry(): boolean {
    if (this.countRetriesLeft() < 1) return false;
    this.#add(0, 1);
    return true;
  }

  /** Repeats that may still be made now. */
  countRetriesLeft(): number {
    const { allowed, used } = this.#computeUsage();
    return allowed - used;
  }

  /** The part of the allowance that is left, from 0 to 1. */
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
