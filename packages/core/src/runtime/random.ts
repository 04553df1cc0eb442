/**
 * A seeded random generator, and functions that choose items at random.
 */
import prand from 'pure-rand';

import type { RandomSource } from './types.js';

const UINT32_RANGE = 2 ** 32;
const INT32_OFFSET = 2 ** 31;

/** Creates a generator that returns the same sequence for the same seed (a 32-bit integer). */
export function createRandom(seed: number): RandomSource {
  const generator = prand.xoroshiro128plus(Math.trunc(seed));
  return { next: () => (generator.unsafeNext() + INT32_OFFSET) / UINT32_RANGE };
}

/** Chooses one item with uniform probability. Returns undefined for an empty list. */
export function chooseOne<Item>(random: RandomSource, items: readonly Item[]): Item | undefined {
  return items[Math.floor(random.next() * items.length)];
}

/** Chooses up to `count` distinct items in random order. */
export function chooseSome<Item>(
  random: RandomSource,
  items: readonly Item[],
  count: number,
): readonly Item[] {
  return items
    .map((item) => ({ item, draw: random.next() }))
    .sort((left, right) => left.draw - right.draw)
    .slice(0, count)
    .map(({ item }) => item);
}
