import type { RandomSource } from '@baobabline/core';

/** Draws a whole number, below `most`. */
export function drawBetween(random: RandomSource, least: number, most: number): number {
  return Math.floor(least + random.next() * (most - least));
}
