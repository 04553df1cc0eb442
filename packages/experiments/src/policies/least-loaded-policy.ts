/**
 * The baseline: knows of load alone.
 */
import type { RandomSource } from '@baobabline/core';

import type { EmulatedRequest, PlacementPolicy, SeenUpstream } from './types.js';

/** Chooses the upstream with the most free room. */
export function chooseEmptiest(
  upstreams: readonly SeenUpstream[],
  random: RandomSource,
): string | undefined {
  const open = upstreams
    .filter(({ inFlight, slots }) => inFlight < slots)
    .map(({ id, inFlight, slots }) => ({ id, cost: inFlight / slots + random.next() * 0.05 }));
  return open.length === 0
    ? undefined
    : open.reduce((best, row) => (row.cost < best.cost ? row : best)).id;
}

export class LeastLoadedPolicy implements PlacementPolicy {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose(_request: EmulatedRequest, upstreams: readonly SeenUpstream[]): string | undefined {
    return chooseEmptiest(upstreams, this.#random);
  }

  record(): void {}
}
