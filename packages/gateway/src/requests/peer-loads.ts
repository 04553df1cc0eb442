/**
 * Requests that other dispatchers have in flight at each upstream, as they last reported.
 */
import type { Clock } from '@baobabline/core';

/** Sums are used again for so long, in milliseconds; reports come as often at most. */
const SUM_AGE_MS = 20;
/** A dispatcher that has been silent for so long is taken to have nothing in flight any more. */
const MAX_AGE_MS = 1000;

type PeerLoad = { readonly at: number; readonly inFlight: ReadonlyMap<number, number> };

export class PeerLoads {
  readonly #clock: Clock;

  readonly #peers = new Map<string, PeerLoad>();

  readonly #sums = new Map<number, number>();

  #summedAt = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes in what a peer has in flight: names of upstreams in reports, and counts. */
  record(peerId: string, inFlight: readonly (readonly [number, number])[]): void {
    this.#peers.set(peerId, { at: this.#clock.now(), inFlight: new Map(inFlight) });
    this.#summedAt = Number.NEGATIVE_INFINITY;
  }

  /** Counts what the peers have in flight at an upstream, by its name in reports. */
  count(upstream: number): number {
    const now = this.#clock.now();
    if (now - this.#summedAt >= SUM_AGE_MS) this.#refresh(now);
    return this.#sums.get(upstream) ?? 0;
  }

  #refresh(now: number): void {
    this.#summedAt = now;
    this.#sums.clear();
    [...this.#peers.values()]
      .filter(({ at }) => at >= now - MAX_AGE_MS)
      .forEach(({ inFlight }) =>
        inFlight.forEach((count, upstream) =>
          this.#sums.set(upstream, (this.#sums.get(upstream) ?? 0) + count),
        ),
      );
  }
}
