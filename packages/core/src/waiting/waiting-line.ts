/**
 * Requests that wait for room at a service.
 *
 * Load pattern: a wave that fills all slots for seconds. Requests that can still be answered
 * within their target latency go first, the more urgent and the sooner due before the others;
 * those that are late already follow while their time lasts. Every request keeps gaining on later
 * ones of a more urgent kind, so that no kind is starved.
 */

export type WaitingRequest = {
  readonly id: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly arrivedAt: number;
  /** Until when an answer has its full value. */
  readonly targetAt: number;
  /** When waiting ends for good. */
  readonly giveUpAt: number;
};

/** How much sooner a request counts as due for each step of urgency, in milliseconds. */
const PRIORITY_STEP_MS = 250;
/** Time that an attempt usually takes, to tell which targets can still be met. */
const USUAL_ATTEMPT_MS = 150;

function computeRank({ priority, targetAt, giveUpAt }: WaitingRequest, now: number): number {
  const isLate = now + USUAL_ATTEMPT_MS > targetAt;
  return (isLate ? giveUpAt : targetAt) + priority * PRIORITY_STEP_MS;
}

export class WaitingLine<Entry extends WaitingRequest> {
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
      .sort((left, right) => left.rank - right.rank)
      .map(({ entry }) => entry);
  }

  /** Takes out the requests whose waiting has ended. */
  takeExpired(now: number): readonly Entry[] {
    const expired = [...this.#entries.values()].filter(({ giveUpAt }) => giveUpAt <= now);
    expired.forEach(({ id }) => this.#entries.delete(id));
    return expired;
  }
}
