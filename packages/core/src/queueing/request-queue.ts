/**
 * The queue of requests that wait for a free slot of a service.
 *
 * Load pattern: a traffic spike that fills all slots for seconds, with a thousand requests waiting.
 * Retries are served first. Next are requests that can still be answered within their target latency,
 * ordered by due time and priority. Late requests follow until they expire: served earlier, each of
 * them would make another request late. Priority only shifts the due time, so that a request overtakes
 * later ones of higher priority after some time and no priority starves. Requests that have to yield,
 * since their account or their kind has got more than its share, come after all others.
 *
 * The requests are kept in sorted lists, one set for each account and kind, so that an event takes
 * about as long with a thousand requests as with ten.
 */
import { QueueLane, RETRY_GROUP } from './queue-lane.js';
import type { QueuedRequest, RankedEntry } from './queue-lane.js';
import { SortedList } from './sorted-list.js';
import type { Keyed } from './sorted-list.js';

/** Delay of the due time for each step of lower priority. */
const PRIORITY_STEP_MS = 250;
/** A request is late if less than this many expected attempt durations are left to its target. */
const LATE_FACTOR = 1.5;

type Place<Entry> = {
  readonly lane: QueueLane<Entry>;
  readonly serial: number;
  readonly entry: Entry;
  /** Its key in the list that holds it until it is late; undefined if it is a retry. */
  readonly lateKey: number | undefined;
};

type Placed<Entry> = Keyed & { readonly place: Place<Entry> };

/** Tells which requests `findNext` looks for. */
export type Wanted<Entry> = {
  /** Whether any requests of this account and kind are wanted, of which one is given. */
  readonly wantsLane: (sample: Entry, isRetry: boolean, yieldRank: number) => boolean;
  readonly wantsRetry: (entry: Entry) => boolean;
};

function computeLateKey({ targetAt, expectedAttemptMs }: QueuedRequest): number {
  return targetAt - expectedAttemptMs * LATE_FACTOR;
}

function computeDueAt(
  { isRetry, priority, targetAt, latestSendAt }: QueuedRequest,
  isLate: boolean,
): number {
  if (isRetry) return latestSendAt;
  return (isLate ? latestSendAt : targetAt) + priority * PRIORITY_STEP_MS;
}

function buildLaneKey({ accountName, priority, isRepeatable }: QueuedRequest): string {
  return `${priority}|${isRepeatable ?? ''}|${accountName ?? ''}`;
}

function compareRanked(left: RankedEntry<unknown>, right: RankedEntry<unknown>): number {
  return left.group - right.group || left.key - right.key || left.serial - right.serial;
}

function goesFirst(left: RankedEntry<unknown>, right: RankedEntry<unknown> | undefined): boolean {
  return right === undefined || compareRanked(left, right) < 0;
}

export class RequestQueue<Entry extends QueuedRequest> {
  readonly #getYieldRank: (entry: QueuedRequest) => number;

  readonly #places = new Map<string, Place<Entry>>();

  readonly #lanes = new Map<string, QueueLane<Entry>>();

  /** Requests that are not late yet, by the time at which they will be. */
  readonly #becomingLate = new SortedList<Placed<Entry>>();

  readonly #expiring = new SortedList<Placed<Entry>>();

  #serial = 0;

  /**
   * `getYieldRank` ranks the requests of an account and priority, of which one is given: those of rank
   * 0 are served before those of rank 1, and so on.
   */
  constructor(getYieldRank: (entry: QueuedRequest) => number = () => 0) {
    this.#getYieldRank = getYieldRank;
  }

  get size(): number {
    return this.#places.size;
  }

  add(entry: Entry): void {
    this.remove(entry.id);
    this.#serial += 1;
    const serial = this.#serial;
    const lane = this.#getLane(entry);
    const lateKey = entry.isRetry ? undefined : computeLateKey(entry);
    const place = { lane, serial, entry, lateKey };
    this.#places.set(entry.id, place);
    this.#expiring.add({ key: entry.latestSendAt, serial, place });
    const placed = { key: computeDueAt(entry, false), serial, entry };
    if (lateKey === undefined) lane.retries.add(placed);
    else {
      lane.inTime.add(placed);
      this.#becomingLate.add({ key: lateKey, serial, place });
    }
  }

  /** Removes a request; returns whether it was queued. */
  remove(id: string): boolean {
    const place = this.#places.get(id);
    if (!place) return false;
    const { lane, serial, entry, lateKey } = place;
    this.#places.delete(id);
    this.#expiring.remove({ key: entry.latestSendAt, serial });
    if (lateKey !== undefined) this.#becomingLate.remove({ key: lateKey, serial });
    const soon = { key: computeDueAt(entry, false), serial };
    if (lateKey === undefined) lane.retries.remove(soon);
    else {
      lane.inTime.remove(soon);
      lane.late.remove({ key: computeDueAt(entry, true), serial });
    }
    if (lane.size === 0) this.#lanes.delete(buildLaneKey(entry));
    return true;
  }

  /** Lists the queued requests in the order in which they would be served. */
  list(now: number): readonly Entry[] {
    this.#refresh(now);
    return [...this.#lanes.values()]
      .flatMap((lane) => lane.list(this.#getYieldRank(lane.sample)))
      .sort(compareRanked)
      .map(({ entry }) => entry);
  }

  /** Finds the request to serve next among those that are wanted. */
  findNext(now: number, wanted: Wanted<Entry>): Entry | undefined {
    this.#refresh(now);
    const first = [...this.#lanes.values()].reduce<RankedEntry<Entry> | undefined>((best, lane) => {
      const next = this.#findFirst(lane, wanted);
      return next && goesFirst(next, best) ? next : best;
    }, undefined);
    return first?.entry;
  }

  /** Counts the queued requests that would be served before a request that is added now. */
  countAhead(request: QueuedRequest, now: number): number {
    this.#refresh(now);
    const isLate = !request.isRetry && now > computeLateKey(request);
    const key = computeDueAt(request, isLate);
    const yieldRank = this.#getYieldRank(request);
    return [...this.#lanes.values()].reduce((sum, lane) => {
      if (request.isRetry) return sum + lane.retries.countUpTo(key);
      const laneRank = this.#getYieldRank(lane.sample);
      return sum + lane.countAhead(laneRank, { yieldRank, isLate, key });
    }, 0);
  }

  /** Removes and returns the requests whose latest send time has passed. */
  takeExpired(now: number): readonly Entry[] {
    const expired = this.#expiring
      .list()
      .slice(0, this.#expiring.countUpTo(now))
      .map(({ place }) => place)
      .sort((left, right) => left.serial - right.serial);
    expired.forEach(({ entry }) => this.remove(entry.id));
    return expired.map(({ entry }) => entry);
  }

  #findFirst(
    lane: QueueLane<Entry>,
    { wantsLane, wantsRetry }: Wanted<Entry>,
  ): RankedEntry<Entry> | undefined {
    const { sample } = lane;
    const yieldRank = this.#getYieldRank(sample);
    const retry =
      lane.retries.size > 0 && wantsLane(sample, true, yieldRank)
        ? lane.retries.list().find(({ entry }) => wantsRetry(entry))
        : undefined;
    if (retry) return { ...retry, group: RETRY_GROUP };
    return wantsLane(sample, false, yieldRank) ? lane.findFirst(yieldRank) : undefined;
  }

  #getLane(entry: Entry): QueueLane<Entry> {
    const key = buildLaneKey(entry);
    const known = this.#lanes.get(key);
    if (known) return known;
    const lane = new QueueLane(entry);
    this.#lanes.set(key, lane);
    return lane;
  }

  /** Moves the requests that have become late. */
  #refresh(now: number): void {
    this.#becomingLate
      .takeFirst(this.#becomingLate.countBelow(now))
      .forEach(({ serial, place: { lane, entry } }) => {
        lane.inTime.remove({ key: computeDueAt(entry, false), serial });
        lane.late.add({ key: computeDueAt(entry, true), serial, entry });
      });
  }
}
