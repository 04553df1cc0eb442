/**
 * The queue of requests that wait for a free slot of a service.
 *
 * Load pattern: a traffic spike that fills all slots for seconds. Retries are served first. Next are
 * requests that can still be answered within their target latency, ordered by due time and priority.
 * Late requests follow until they expire: served earlier, each of them would make another request
 * late. Priority only shifts the due time, so that a request overtakes later ones of higher priority
 * after some time and no priority starves.
 */
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
};

/** Delay of the due time for each step of lower priority. */
const PRIORITY_STEP_MS = 250;
/** A request is late if less than this many expected attempt durations are left to its target. */
const LATE_FACTOR = 1.5;

/** Groups of requests, in the order in which they are served. */
const RETRY_GROUP = 0;
const IN_TIME_GROUP = 1;
const LATE_GROUP = 2;

type Rank = { readonly group: number; readonly dueAt: number };

function computeRank(request: QueuedRequest, now: number): Rank {
  const { priority, targetAt, latestSendAt, expectedAttemptMs, isRetry } = request;
  if (isRetry) return { group: RETRY_GROUP, dueAt: latestSendAt };
  const isLate = now + expectedAttemptMs * LATE_FACTOR > targetAt;
  const dueAt = (isLate ? latestSendAt : targetAt) + priority * PRIORITY_STEP_MS;
  return { group: isLate ? LATE_GROUP : IN_TIME_GROUP, dueAt };
}

function compareRanks(left: Rank, right: Rank): number {
  return left.group - right.group || left.dueAt - right.dueAt;
}

export class RequestQueue<Entry extends QueuedRequest> {
  readonly #entries = new Map<string, Entry>();

  get size(): number {
    return this.#entries.size;
  }

  add(entry: Entry): void {
    this.#entries.set(entry.id, entry);
  }

  /** Removes a request; returns whether it was queued. */
  remove(id: string): boolean {
    return this.#entries.delete(id);
  }

  /** Lists the queued requests in the order in which they would be served. */
  list(now: number): readonly Entry[] {
    return [...this.#entries.values()]
      .map((entry) => ({ entry, rank: computeRank(entry, now) }))
      .sort((left, right) => compareRanks(left.rank, right.rank))
      .map(({ entry }) => entry);
  }

  /** Counts the queued requests that would be served before a request that is added now. */
  countAhead(request: QueuedRequest, now: number): number {
    const rank = computeRank(request, now);
    return [...this.#entries.values()].filter(
      (entry) => compareRanks(computeRank(entry, now), rank) <= 0,
    ).length;
  }

  /** Removes and returns the requests whose latest send time has passed. */
  takeExpired(now: number): readonly Entry[] {
    const expired = [...this.#entries.values()].filter(({ latestSendAt }) => latestSendAt <= now);
    expired.forEach(({ id }) => this.#entries.delete(id));
    return expired;
  }
}
