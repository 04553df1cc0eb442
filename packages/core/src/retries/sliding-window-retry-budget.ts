/**
 * A retry budget that bounds the retries of the whole fleet without communication between daemons.
 *
 * Load pattern: all upstreams of a service refuse requests, so that every daemon wants to retry all
 * of its requests at once. Users allow a number of retries per request of a sliding window, plus a
 * fixed slack for the fleet. Each daemon applies the ratio to the requests that it has accepted
 * itself, and takes its share of the slack. The sum stays within the bound through partitions and
 * restarts.
 *
 * While retries are scarce, a request leaves a part of the budget to the requests of more urgent
 * kinds, and one that was shed twice, or whose account is over its share, leaves a part to the others.
 */
import type { Clock } from '../runtime/index.js';

export type SlidingWindowRetryBudgetSettings = {
  readonly windowMs: number;
  /** Retries allowed for each request accepted within the window. */
  readonly ratio: number;
  /** Additional retries per window for the whole fleet. */
  readonly fleetSlack: number;
  /** Returns the part of the slack that this daemon may use now, from 0 to 1. */
  readonly getSlackShare: () => number;
};

/** What decides whether a request may take a retry while few are left. */
export type RetryClaim = {
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of times that upstreams have shed the request. */
  readonly shedCount: number;
  /** Whether its client account has got more than its share of the service. */
  readonly isOverShare?: boolean;
};

/** Number of buckets that count the events of one window. */
const BUCKETS_PER_WINDOW = 20;
/** Share of the ratio that is used, since counted windows and those of the bound may not align. */
const RATIO_SAFETY_FACTOR = 0.9;
/** Share of the slack that is used: a retry may reach its upstream later than others after it. */
const SLACK_SAFETY_FACTOR = 0.95;
/** Requests that were shed this often leave a part of the budget to the others. */
const OFTEN_SHED_COUNT = 2;
/** Part of the budget that they leave. */
const OFTEN_SHED_RESERVE = 0.25;
/** Part of the budget that requests of accounts over their share leave to the others. */
const OVER_SHARE_RESERVE = 0.25;
/** No request leaves more than this part of the budget to others. */
const MAX_RESERVE = 0.75;
/** Fewer retries than this within two buckets do not show that the budget runs down. */
const MIN_RECENT_RETRIES = 5;
const FIRST_CLAIM: RetryClaim = { priority: 0, shedCount: 1 };

type Bucket = {
  readonly index: number;
  readonly requests: number;
  readonly byPriority: ReadonlyMap<number, number>;
  readonly retries: number;
};

type Usage = { readonly allowed: number; readonly used: number };

function sumRequests(buckets: readonly Bucket[]): number {
  return buckets.reduce((sum, { requests }) => sum + requests, 0);
}

function sumRetries(buckets: readonly Bucket[]): number {
  return buckets.reduce((sum, { retries }) => sum + retries, 0);
}

export class SlidingWindowRetryBudget {
  readonly #clock: Clock;

  readonly #settings: SlidingWindowRetryBudgetSettings;

  #buckets: readonly Bucket[] = [];

  constructor(settings: SlidingWindowRetryBudgetSettings, clock: Clock) {
    this.#settings = settings;
    this.#clock = clock;
  }

  recordRequest(priority = 0): void {
    const { index, requests, byPriority, retries } = this.#getCurrentBucket();
    const counts = new Map(byPriority).set(priority, (byPriority.get(priority) ?? 0) + 1);
    this.#putBucket({ index, requests: requests + 1, byPriority: counts, retries });
  }

  /** Takes one retry out of the budget; returns false if none is left for the request. */
  takeRetry(claim: RetryClaim = FIRST_CLAIM): boolean {
    if (this.countRetriesLeft(claim) < 1) return false;
    const bucket = this.#getCurrentBucket();
    this.#putBucket({ ...bucket, retries: bucket.retries + 1 });
    return true;
  }

  /** Returns the number of retries left for a request; it may be a fraction, or negative. */
  countRetriesLeft(claim: RetryClaim = FIRST_CLAIM): number {
    const buckets = this.#listCurrentBuckets();
    const { allowed, used } = this.#computeUsage(buckets);
    return allowed * (1 - this.#computeReserve(buckets, claim)) - used;
  }

  /** Returns the share of the budget that is left, from 0 to 1. */
  getShareLeft(): number {
    const { allowed, used } = this.#computeUsage(this.#listCurrentBuckets());
    return allowed < 1 ? 0 : Math.max(0, (allowed - used) / allowed);
  }

  /** Whether retries were taken lately faster than the budget returns. */
  get isRunningDown(): boolean {
    const buckets = this.#listCurrentBuckets();
    const { allowed } = this.#computeUsage(buckets);
    const oldestIndex = this.#computeBucketIndex() - 1;
    const recent = buckets.filter(({ index }) => index >= oldestIndex);
    const retries = sumRetries(recent);
    return retries >= MIN_RECENT_RETRIES && (retries * BUCKETS_PER_WINDOW) / 2 > allowed;
  }

  #computeUsage(buckets: readonly Bucket[]): Usage {
    const { ratio, fleetSlack, getSlackShare } = this.#settings;
    const requests = sumRequests(buckets);
    const allowed =
      requests * ratio * RATIO_SAFETY_FACTOR + fleetSlack * getSlackShare() * SLACK_SAFETY_FACTOR;
    return { allowed, used: sumRetries(buckets) };
  }

  /** The part of the budget that a request leaves: to more urgent kinds as many of them arrive. */
  #computeReserve(buckets: readonly Bucket[], claim: RetryClaim): number {
    const { priority, shedCount, isOverShare } = claim;
    const total = sumRequests(buckets);
    const urgent = buckets
      .flatMap(({ byPriority }) => [...byPriority])
      .reduce((sum, [other, count]) => (other < priority ? sum + count : sum), 0);
    const forUrgent = total === 0 ? 0 : urgent / total;
    const forLessShed = shedCount >= OFTEN_SHED_COUNT ? OFTEN_SHED_RESERVE : 0;
    const forOtherAccounts = isOverShare ? OVER_SHARE_RESERVE : 0;
    return Math.min(MAX_RESERVE, forUrgent + forLessShed + forOtherAccounts);
  }

  #computeBucketIndex(): number {
    return Math.floor((this.#clock.now() * BUCKETS_PER_WINDOW) / this.#settings.windowMs);
  }

  #listCurrentBuckets(): readonly Bucket[] {
    const oldestIndex = this.#computeBucketIndex() - BUCKETS_PER_WINDOW;
    return this.#buckets.filter(({ index }) => index >= oldestIndex);
  }

  #getCurrentBucket(): Bucket {
    const index = this.#computeBucketIndex();
    const last = this.#buckets.at(-1);
    return last?.index === index ? last : { index, requests: 0, byPriority: new Map(), retries: 0 };
  }

  #putBucket(bucket: Bucket): void {
    const earlier = this.#listCurrentBuckets().filter(({ index }) => index < bucket.index);
    this.#buckets = [...earlier, bucket];
  }
}
