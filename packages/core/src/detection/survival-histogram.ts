/**
 * A decaying histogram of elapsed times with logarithmic buckets. It estimates the survival function:
 * the share of requests that take at least a given time. Beyond the longest recorded time the share
 * follows a heavy (power-law) tail, so that suspicion of a stalled request grows slowly with its age.
 */

const BUCKETS_PER_OCTAVE = 4;
const MIN_ELAPSED_MS = 0.25;
const BUCKET_COUNT = 84;
const TAIL_EXPONENT = 3;

function computeBucket(elapsedMs: number): number {
  const octaves = Math.log2(Math.max(elapsedMs, MIN_ELAPSED_MS) / MIN_ELAPSED_MS);
  return Math.min(BUCKET_COUNT - 1, Math.floor(octaves * BUCKETS_PER_OCTAVE));
}

function computeUpperBound(bucket: number): number {
  return MIN_ELAPSED_MS * 2 ** ((bucket + 1) / BUCKETS_PER_OCTAVE);
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

  /** Multiplies all counts by a factor below one, so that old requests weigh less. */
  decay(factor: number): void {
    this.#counts.forEach((count, bucket) => {
      this.#counts[bucket] = count * factor;
    });
    this.#total *= factor;
  }

  /**
   * Share of requests that take at least `elapsedMs`. Requests counted in `excluded` are left out.
   */
  computeSurvival(elapsedMs: number, excluded?: SurvivalHistogram): number {
    const bucket = computeBucket(elapsedMs);
    const total = Math.max(0, this.#total - (excluded?.total ?? 0));
    const above = this.#sumAbove(bucket) - (excluded ? excluded.#sumAbove(bucket) : 0);
    const within = this.#getCount(bucket) - (excluded ? excluded.#getCount(bucket) : 0);
    const survivors = Math.max(0, above) + Math.max(0, within) / 2;
    const share = (survivors + 0.5) / (total + 1);
    return survivors >= 0.5 ? share : share * this.#computeTailFactor(elapsedMs);
  }

  #getCount(bucket: number): number {
    return this.#counts[bucket] ?? 0;
  }

  #sumAbove(bucket: number): number {
    return this.#counts.subarray(bucket + 1).reduce((sum, count) => sum + count, 0);
  }

  #computeTailFactor(elapsedMs: number): number {
    const longestBucket = this.#counts.findLastIndex((count) => count >= 0.5);
    if (longestBucket < 0) return 1;
    return Math.min(1, (computeUpperBound(longestBucket) / elapsedMs) ** TAIL_EXPONENT);
  }
}
