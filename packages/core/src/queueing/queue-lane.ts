/**
 * The queued requests that have the same yield rank and are all repeatable or all not, in the order in
 * which they are served.
 */
import { SortedList } from './sorted-list.js';
import type { Keyed } from './sorted-list.js';

export type QueuedRequest = {
  readonly id: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** This and the other times are in milliseconds of the daemon's clock. */
  readonly arrivedAt: number;
  /** When the target latency of the route ends. */
  readonly targetAt: number;
  /** Latest time at which the request may be sent; then it expires. */
  readonly latestSendAt: number;
  /** Expected duration of an attempt on the request's route, in milliseconds. */
  readonly expectedAttemptMs: number;
  /** Whether the request was sent before; retries are served first, since their turn had come. */
  readonly isRetry: boolean;
  /** The client account whose request it is; undefined if it needs no key. */
  readonly accountName?: string | undefined;
  /** Whether it may run more than once. */
  readonly isRepeatable?: boolean;
};

export type LaneEntry<Entry> = Keyed & { readonly entry: Entry };

/** An entry with the group that it is served in; lower groups come first. */
export type RankedEntry<Entry> = LaneEntry<Entry> & { readonly group: number };

/** A request's place in the order; `key` is its due time. */
export type LaneRank = {
  readonly yieldRank: number;
  readonly isLate: boolean;
  readonly key: number;
};

/** Groups of requests, in the order in which they are served. */
export const RETRY_GROUP = 0;
const IN_TIME_GROUP = 1;
const LATE_GROUP = 2;
/** Added to the groups of a request for each step of its yield rank. */
const YIELDING_STEP = 2;

export class QueueLane<Entry> {
  readonly retries = new SortedList<LaneEntry<Entry>>();

  readonly inTime = new SortedList<LaneEntry<Entry>>();

  readonly late = new SortedList<LaneEntry<Entry>>();

  readonly yieldRank: number;

  readonly isRepeatable: boolean;

  readonly #step: number;

  constructor(yieldRank: number, isRepeatable: boolean) {
    this.yieldRank = yieldRank;
    this.isRepeatable = isRepeatable;
    this.#step = yieldRank * YIELDING_STEP;
  }

  get size(): number {
    return this.retries.size + this.inTime.size + this.late.size;
  }

  list(): readonly RankedEntry<Entry>[] {
    return [
      ...this.retries.list().map((item) => ({ ...item, group: RETRY_GROUP })),
      ...this.inTime.list().map((item) => ({ ...item, group: IN_TIME_GROUP + this.#step })),
      ...this.late.list().map((item) => ({ ...item, group: LATE_GROUP + this.#step })),
    ];
  }

  /** Finds the first wanted request that is no retry. */
  findFirst(isWanted: (entry: Entry) => boolean): RankedEntry<Entry> | undefined {
    const inTime = this.inTime.list().find(({ entry }) => isWanted(entry));
    if (inTime) return { ...inTime, group: IN_TIME_GROUP + this.#step };
    const late = this.late.list().find(({ entry }) => isWanted(entry));
    return late && { ...late, group: LATE_GROUP + this.#step };
  }

  /** Counts the requests here that are served before one of the given rank, which is no retry. */
  countAhead({ yieldRank, isLate, key }: LaneRank): number {
    if (this.yieldRank < yieldRank) return this.size;
    if (this.yieldRank > yieldRank) return this.retries.size;
    if (isLate) return this.retries.size + this.inTime.size + this.late.countUpTo(key);
    return this.retries.size + this.inTime.countUpTo(key);
  }
}
