/**
 * Requests that wait for room at a service.
 *
 * Load pattern: a wave that fills all slots for seconds. Requests that can still be answered
 * within their target latency go first, the more urgent and the sooner due before the others;
 * those that are late already follow while their time lasts, since each of them that went ahead
 * would make another one late. Before all goes what was sent
 * once and has to be sent again. Every request keeps gaining on later ones of a more urgent kind, so
 * that no kind is starved.
 */
export type QueuedRequest = {
  readonly id: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: number;
  /** Until when an answer has its full value. */
  readonly targetAt: number;
  /** When waiting ends for good. */
  readonly latestSendAt: number;
  /** Time that an attempt of its route usually takes, in milliseconds. */
  readonly expectedAttemptMs: number;
  /** Whether it was sent before: its turn has come already, and it goes first. */
  readonly isRetry: boolean;
};

/** How much sooner a request counts as due for each step of urgency, in milliseconds. */
const PRIORITY_STEP_MS = 250;
/** An attempt that starts later than so many usual times before its target is held to be late. */
const LATE_FACTOR = 1.5;

/** Groups of requests, each of which goes before the next. */
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

  /** Returns whether the request was waiting. */
  remove(id: string): boolean {
    return this.#entries.delete(id);
  }

  /** The waiting requests, the one to be served first at the head. */
  list(now: number): readonly Entry[] {
    return [...this.#entries.values()]
      .map((entry) => ({ entry, rank: computeRank(entry, now) }))
      .sort((left, right) => compareRanks(left.rank, right.rank))
      .map(({ entry }) => entry);
  }

  /** Counts the waiting requests that would be served before a request that joins now. */
  countAhead(request: QueuedRequest, now: number): number {
    const rank = computeRank(request, now);
    return [...this.#entries.values()].filter(
      (entry) => compareRanks(computeRank(entry, now), rank) <= 0,
    ).length;
  }

  /** Takes out the requests whose waiting has ended. */
  takeExpired(now: number): readonly Entry[] {
    const expired = [...this.#entries.values()].filter(({ latestSendAt }) => latestSendAt <= now);
    expired.forEach(({ id }) => this.#entries.delete(id));
    return expired;
  }
}
