/**
 * A decaying histogram of elapsed times with logarithmic buckets, asked for one thing: what share
 * of requests takes at least so long. Beyond the longest time seen the share falls off like a
 * heavy tail, so that a stalled request grows more suspicious with age, but never absurdly so.
 */

const BUCKETS_PER_OCTAVE = 4;
const SHORTEST_MS = 0.25;
const BUCKET_COUNT = 84;
const TAIL_EXPONENT = 3;

function computeBucket(elapsedMs: number): number {
  const octaves = Math.log2(Math.max(elapsedMs, SHORTEST_MS) / SHORTEST_MS);
  return Math.min(BUCKET_COUNT - 1, Math.floor(octaves * BUCKETS_PER_OCTAVE));
}

function computeUpperBound(bucket: number): number {
  return SHORTEST_MS * 2 ** ((bucket + 1) / BUCKETS_PER_OCTAVE);
}

export class SurvivalHistogram {
  readonly #counts = new Float64Array(BUCKET_COUNT);

  #total = 0;

  get total(): number {
    return this.#total;
  }

  record(elapsedMs: number): void {
    const bucket = computeBucket(elapsedMs);
    this.#counts[bucket] = (this.#counts[bucket] ?? 0) + 1;
    this.#total += 1;
  }

  /** Multiplies all counts by a factor below one, so that old times fade. */
  decay(factor: number): void {
    this.#counts.forEach((count, bucket) => {
      this.#counts[bucket] = count * factor;
    });
    this.#total *= factor;
  }

  /** Share of requests that take at least `elapsedMs`, leaving out those in `without`. */
  computeSurvival(elapsedMs: number, without?: SurvivalHistogram): number {
    const own = computeBucket(elapsedMs);
    const total = Math.max(0, this.#total - (without?.total ?? 0));
    const above = this.#sumAbove(own) - (without ? without.#sumAbove(own) : 0);
    const within = this.#getCount(own) - (without ? without.#getCount(own) : 0);
    const survivors = Math.max(0, above) + Math.max(0, within) / 2;
    const share = (survivors + 0.5) / (total + 1);
    return survivors >= 0.5 ? share : share * this.#computeTail(elapsedMs);
  }

  #getCount(bucket: number): number {
    return this.#counts[bucket] ?? 0;
  }

  #sumAbove(bucket: number): number {
    return this.#counts.subarray(bucket + 1).reduce((sum, count) => sum + count, 0);
  }

  #computeTail(elapsedMs: number): number {
    const longest = this.#counts.findLastIndex((count) => count >= 0.5);
    if (longest < 0) return 1;
    return Math.min(1, (computeUpperBound(longest) / elapsedMs) ** TAIL_EXPONENT);
  }
}
