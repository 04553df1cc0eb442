/**
 * The process's monotonic clock and random generator.
 */
import { createRandom } from '@baobabline/core';
import type { Clock, RandomSource } from '@baobabline/core';
import { randomInt } from 'node:crypto';

const MAX_SEED = 2 ** 31;

export const systemClock: Clock = { now: () => performance.now() };

export function createProcessRandom(): RandomSource {
  return createRandom(randomInt(MAX_SEED));
}
