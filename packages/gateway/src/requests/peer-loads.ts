/**
 * Requests that other dispatchers have in flight at each upstream, as they last reported.
 */
import type { Clock } from '@baobabline/core';

/** A dispatcher that has been silent for so long is taken to have nothing in flight any more. */
const MAX_AGE_MS = 1000;

type PeerLoad = { readonly at: number; readonly inFlight: ReadonlyMap<number, number> };

export class PeerLoads {
  readonly #clock: Clock;

  readonly #peers = new Map<string, PeerLoad>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Takes in what a peer has in flight: names of upstreams in reports, and counts. */
  record(peerId: string, inFlight: readonly (readonly [number, number])[]): void {
    this.#peers.set(peerId, { at: this.#clock.now(), inFlight: new Map(inFlight) });
  }

  /** Counts what the peers have in flight at an upstream, by its name in reports. */
  count(upstream: number): number {
    const oldest = this.#clock.now() - MAX_AGE_MS;
    return [...this.#peers.values()]
      .filter(({ at }) => at >= oldest)
      .reduce((sum, { inFlight }) => sum + (inFlight.get(upstream) ?? 0), 0);
  }
}
