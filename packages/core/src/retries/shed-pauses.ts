/**
 * Decides how long an upstream that shed a request gets no new ones.
 *
 * Load patterns:
 * - One upstream sheds all requests, or is full although its reported load does not show it. It has
 *   the fewest requests in flight and would attract all others; a pause keeps them away.
 * - Most upstreams of a service shed a part of the requests at random, also while they have free
 *   slots. A pause would hide free slots and be of no use, since the next upstream sheds as often.
 */

/** An upstream that shed a request gets no new requests for this long. */
const PAUSE_MS = 150;
/** Answers of this age still count. */
const MEMORY_MS = 1000;
/** Upstreams shed at random if at least this part of those that answered has shed with free slots. */
const MIN_SHEDDING_PART = 0.4;
/** Fewer upstreams than this show no pattern. */
const MIN_SHEDDING_COUNT = 3;
/**
 * An upstream is taken to have free slots if at most this share of its slots was in use. Reports of
 * other daemons are late: with 0.75, full upstreams counted as shedding at random, and without pauses
 * more than twice as many requests were sent to full ones.
 */
const MAX_USED_SHARE = 0.5;

export type Shed = {
  readonly upstreamId: string;
  readonly at: number;
  /** Requests in flight at the upstream as far as known, the one included that was shed. */
  readonly inFlight: number;
  readonly slots: number;
};

type Answers = {
  readonly answeredAt: number;
  readonly shedAt: number;
  readonly shedWithFreeSlotsAt: number;
};

const NO_ANSWERS: Answers = {
  answeredAt: Number.NEGATIVE_INFINITY,
  shedAt: Number.NEGATIVE_INFINITY,
  shedWithFreeSlotsAt: Number.NEGATIVE_INFINITY,
};

export class ShedPauses {
  readonly #answers = new Map<string, Answers>();

  /** Until when the upstreams are taken to shed at random. */
  #randomUntil = Number.NEGATIVE_INFINITY;

  recordServed(upstreamId: string, at: number): void {
    const known = this.#answers.get(upstreamId) ?? NO_ANSWERS;
    this.#answers.set(upstreamId, { ...known, answeredAt: at });
  }

  recordShed({ upstreamId, at, inFlight, slots }: Shed): void {
    const known = this.#answers.get(upstreamId) ?? NO_ANSWERS;
    const hadFreeSlots = inFlight <= Math.max(1, slots * MAX_USED_SHARE);
    this.#answers.set(upstreamId, {
      answeredAt: at,
      shedAt: at,
      shedWithFreeSlotsAt: hadFreeSlots ? at : known.shedWithFreeSlotsAt,
    });
    if (this.#isMostShedding(at)) this.#randomUntil = at + MEMORY_MS;
  }

  /** Whether most upstreams shed requests at random, also with free slots. */
  hasRandomShedding(now: number): boolean {
    return now < this.#randomUntil;
  }

  /** Whether an upstream gets no new requests now. */
  isPaused(upstreamId: string, now: number): boolean {
    const { shedAt } = this.#answers.get(upstreamId) ?? NO_ANSWERS;
    return now < shedAt + PAUSE_MS && !this.hasRandomShedding(now);
  }

  /** Forgets all upstreams but those named. */
  keep(upstreamIds: ReadonlySet<string>): void {
    [...this.#answers.keys()]
      .filter((id) => !upstreamIds.has(id))
      .forEach((id) => this.#answers.delete(id));
  }

  #isMostShedding(now: number): boolean {
    const recent = [...this.#answers.values()].filter(
      ({ answeredAt }) => answeredAt > now - MEMORY_MS,
    );
    const shedding = recent.filter(
      ({ shedWithFreeSlotsAt }) => shedWithFreeSlotsAt > now - MEMORY_MS,
    ).length;
    return shedding >= MIN_SHEDDING_COUNT && shedding >= recent.length * MIN_SHEDDING_PART;
  }
}
