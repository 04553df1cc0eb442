/**
 * Runs soaks of several seeds, one after the other, and sums them up.
 */
import { Soak } from './soak.js';
import type { SoakOptions, SoakResult } from './soak.js';

/** Runs soaks of `count` seeds from the one given on. */
export async function runSoaks(
  options: SoakOptions,
  count: number,
): Promise<readonly SoakResult[]> {
  const seeds = Array.from({ length: count }, (_, index) => options.seed + index);
  return seeds.reduce<Promise<readonly SoakResult[]>>(async (before, seed) => {
    const results = await before;
    const result = await new Soak({ ...options, seed }).run();
    process.stderr.write(
      `seed ${seed}: ${result.requests} requests, ${result.faults.length} faults\n`,
    );
    return [...results, result];
  }, Promise.resolve([]));
}

/** A line that says how many seeds kept all promises, and which did not. */
export function describeSoaks(results: readonly SoakResult[]): string {
  const failed = results.filter(({ faults }) => faults.length > 0).map(({ seed }) => seed);
  const seeds = failed.length > 0 ? ` (seeds ${failed.join(', ')})` : '';
  return `${results.length - failed.length} passed, ${failed.length} failed${seeds}`;
}
