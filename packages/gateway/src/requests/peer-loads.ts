/**
 * Counts the requests that other dispatchers have in flight at each upstream, by their last reports.
 */
import type { Clock } from '@baobabline/core';

/** Sums are reused for this long; a dispatcher does not report more often than that. */
const SUM_MAX_AGE_MS = 20;
/** A dispatcher whose last report is older is assumed to have nothing in flight. */
const REPORT_MAX_AGE_MS = 1000;

type PeerLoad = { readonly at: number; readonly inFlight: ReadonlyMap<number, number> };

export class PeerLoads {
  readonly #clock: Clock;

  readonly #peers = new Map<string, PeerLoad>();

  readonly #sums = new Map<number, number>();

  #summedAt = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a peer's requests in flight, as pairs of an upstream's report name and a count. */
  record(peerId: string, inFlight: readonly (readonly [number, number])[]): void {
    this.#peers.set(peerId, { at: this.#clock.now(), inFlight: new Map(inFlight) });
    this.#summedAt = Number.NEGATIVE_INFINITY;
  }

  /** Counts the peers' requests in flight at an upstream, given its report name. */
  count(upstream: number): number {
    const now = this.#clock.now();
    if (now - this.#summedAt >= SUM_MAX_AGE_MS) this.#refresh(now);
    return this.#sums.get(upstream) ?? 0;
  }

  #refresh(now: number): void {
    this.#summedAt = now;
    this.#sums.clear();
    [...this.#peers.values()]
      .filter(({ at }) => at >= now - REPORT_MAX_AGE_MS)
      .forEach(({ inFlight }) =>
        inFlight.forEach((count, upstream) =>
          this.#sums.set(upstream, (this.#sums.get(upstream) ?? 0) + count),
        ),
      );
  }
}
