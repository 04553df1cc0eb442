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
 * The requests are kept in sorted lists, one set for each yield rank, so that an event takes about as
 * long with a thousand requests as with ten. If the rank of an account changes, its requests move.
 */
import { QueueLane, RETRY_GROUP } from './queue-lane.js';
import type { QueuedRequest, RankedEntry } from './queue-lane.js';
import { SortedList } from './sorted-list.js';
import type { Keyed } from './sorted-list.js';

/** Delay of the due time for each step of lower priority. */
const PRIORITY_STEP_MS = 250;
/** A request is late if less than this many expected attempt durations are left to its target. */
const LATE_FACTOR = 1.5;

/** How often it is looked whether requests have to yield that did not, or no longer. */
const RANKS_MAX_AGE_MS = 50;

/** The queued requests of one account and priority, which yield alike. */
type Origin = {
  readonly sample: QueuedRequest;
  readonly yieldRank: number;
  readonly ids: Set<string>;
};

type Place<Entry> = {
  readonly lane: QueueLane<Entry>;
  readonly serial: number;
  readonly entry: Entry;
  /** When it becomes late; undefined if it is a retry. */
  readonly lateKey: number | undefined;
};

/** Tells which requests `findNext` looks for. */
export type Wanted<Entry> = {
  /** Whether requests are wanted that are repeatable or not, and retries or not. */
  readonly wantsKind: (isRepeatable: boolean, isRetry: boolean) => boolean;
  readonly wantsEntry: (entry: Entry) => boolean;
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

function buildOriginKey({ accountName = '', priority }: QueuedRequest): string {
  return `${priority}|${accountName}`;
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

  readonly #origins = new Map<string, Origin>();

  #lanes: readonly QueueLane<Entry>[] = [];

  /** Requests that are not late yet, by the time at which they will be. */
  readonly #becomingLate = new SortedList<Keyed & { readonly id: string }>();

  readonly #expiring = new SortedList<Keyed & { readonly id: string }>();

  #serial = 0;

  #rankedAt = Number.NEGATIVE_INFINITY;

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
    const lateKey = entry.isRetry ? undefined : computeLateKey(entry);
    this.#putPlace({ lane: this.#getLane(entry), serial, entry, lateKey }, false);
    this.#expiring.add({ key: entry.latestSendAt, serial, id: entry.id });
    if (lateKey !== undefined) this.#becomingLate.add({ key: lateKey, serial, id: entry.id });
    this.#addToOrigin(entry);
  }

  /** Removes a request; returns whether it was queued. */
  remove(id: string): boolean {
    const place = this.#places.get(id);
    if (!place) return false;
    const { serial, entry, lateKey } = place;
    this.#takePlace(place);
    this.#expiring.remove({ key: entry.latestSendAt, serial });
    if (lateKey !== undefined) this.#becomingLate.remove({ key: lateKey, serial });
    const originKey = buildOriginKey(entry);
    const origin = this.#origins.get(originKey);
    origin?.ids.delete(id);
    if (origin?.ids.size === 0) this.#origins.delete(originKey);
    return true;
  }

  /** Lists the queued requests in the order in which they would be served. */
  list(now: number): readonly Entry[] {
    this.#refresh(now);
    return this.#lanes
      .flatMap((lane) => lane.list())
      .sort(compareRanked)
      .map(({ entry }) => entry);
  }

  /** Finds the request to serve next among those that are wanted. */
  findNext(now: number, wanted: Wanted<Entry>): Entry | undefined {
    this.#refresh(now);
    const first = this.#lanes.reduce<RankedEntry<Entry> | undefined>((best, lane) => {
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
    if (request.isRetry) {
      return this.#lanes.reduce((sum, { retries }) => sum + retries.countUpTo(key), 0);
    }
    const rank = { yieldRank: this.#findYieldRank(request), isLate, key };
    return this.#lanes.reduce((sum, lane) => sum + lane.countAhead(rank), 0);
  }

  /** Removes and returns the requests whose latest send time has passed. */
  takeExpired(now: number): readonly Entry[] {
    const expired = this.#expiring
      .list()
      .slice(0, this.#expiring.countUpTo(now))
      .sort((left, right) => left.serial - right.serial)
      .flatMap(({ id }) => this.#places.get(id)?.entry ?? []);
    expired.forEach(({ id }) => this.remove(id));
    return expired;
  }

  #findFirst(
    lane: QueueLane<Entry>,
    { wantsKind, wantsEntry }: Wanted<Entry>,
  ): RankedEntry<Entry> | undefined {
    const { isRepeatable, retries } = lane;
    const retry =
      retries.size > 0 && wantsKind(isRepeatable, true)
        ? retries.list().find(({ entry }) => wantsEntry(entry))
        : undefined;
    if (retry) return { ...retry, group: RETRY_GROUP };
    return wantsKind(isRepeatable, false) ? lane.findFirst(wantsEntry) : undefined;
  }

  #findYieldRank(request: QueuedRequest): number {
    const origin = this.#origins.get(buildOriginKey(request));
    return origin ? origin.yieldRank : this.#getYieldRank(request);
  }

  #addToOrigin(entry: Entry): void {
    const key = buildOriginKey(entry);
    const known = this.#origins.get(key);
    if (known) known.ids.add(entry.id);
    else {
      const yieldRank = this.#getYieldRank(entry);
      this.#origins.set(key, { sample: entry, yieldRank, ids: new Set([entry.id]) });
    }
  }

  #getLane(entry: Entry, yieldRank = this.#findYieldRank(entry)): QueueLane<Entry> {
    const { isRepeatable = false } = entry;
    const known = this.#lanes.find(
      (lane) => lane.yieldRank === yieldRank && lane.isRepeatable === isRepeatable,
    );
    if (known) return known;
    const lane = new QueueLane<Entry>(yieldRank, isRepeatable);
    this.#lanes = [...this.#lanes, lane];
    return lane;
  }

  #putPlace(place: Place<Entry>, isLate: boolean): void {
    const { lane, serial, entry } = place;
    this.#places.set(entry.id, place);
    const placed = { key: computeDueAt(entry, isLate), serial, entry };
    if (entry.isRetry) lane.retries.add(placed);
    else if (isLate) lane.late.add(placed);
    else lane.inTime.add(placed);
  }

  /** Takes a request out of its lane; returns whether it was late. */
  #takePlace({ lane, serial, entry }: Place<Entry>): boolean {
    this.#places.delete(entry.id);
    const soon = { key: computeDueAt(entry, false), serial };
    if (entry.isRetry) {
      lane.retries.remove(soon);
      return false;
    }
    if (lane.inTime.remove(soon)) return false;
    lane.late.remove({ key: computeDueAt(entry, true), serial });
    return true;
  }

  /** Moves the requests that have become late, and those whose rank has changed. */
  #refresh(now: number): void {
    this.#becomingLate.takeFirst(this.#becomingLate.countBelow(now)).forEach(({ id }) => {
      const place = this.#places.get(id);
      if (!place) return;
      this.#takePlace(place);
      this.#putPlace(place, true);
    });
    if (now - this.#rankedAt < RANKS_MAX_AGE_MS) return;
    this.#rankedAt = now;
    this.#origins.forEach((origin, key) => this.#refreshOrigin(origin, key));
  }

  #refreshOrigin({ sample, yieldRank: before, ids }: Origin, key: string): void {
    const yieldRank = this.#getYieldRank(sample);
    if (yieldRank === before) return;
    this.#origins.set(key, { sample, yieldRank, ids });
    [...ids]
      .flatMap((id) => this.#places.get(id) ?? [])
      .forEach((place) => {
        const isLate = this.#takePlace(place);
        this.#putPlace({ ...place, lane: this.#getLane(place.entry, yieldRank) }, isLate);
      });
  }
}
