/**
 * Running tests of one upstream as one daemon sees it. Each is a cumulative sum of
 * log-likelihood ratios that never falls below zero (Page's test), so that long good service
 * does not buy time for a later fault.
 */
import { SurvivalHistogram } from './survival-histogram.js';

export class UpstreamRecord {
  readonly timesByKind = new Map<string, SurvivalHistogram>();

  #slowness = 0;

  #failing = 0;

  #failures = 0;

  #ends = 0;

  #answeredAt = Number.NEGATIVE_INFINITY;

  get failures(): number {
    return this.#failures;
  }

  get ends(): number {
    return this.#ends;
  }

  get slowness(): number {
    return this.#slowness;
  }

  get failing(): number {
    return this.#failing;
  }

  get answeredAt(): number {
    return this.#answeredAt;
  }

  getTimes(kind: string): SurvivalHistogram {
    const known = this.timesByKind.get(kind);
    if (known) return known;
    const times = new SurvivalHistogram();
    this.timesByKind.set(kind, times);
    return times;
  }

  addSlowness(ratio: number): void {
    this.#slowness = Math.max(0, this.#slowness + ratio);
  }

  addEnd(failed: boolean, ratio: number, now: number): void {
    this.#failing = Math.max(0, this.#failing + ratio);
    this.#ends += 1;
    if (failed) this.#failures += 1;
    else this.#answeredAt = now;
  }

  decay(factor: number): void {
    this.timesByKind.forEach((times) => times.decay(factor));
    this.#failures *= factor;
    this.#ends *= factor;
  }

  /** Starts the tests anew, as for an upstream on trial. */
  reset(): void {
    this.#slowness = 0;
    this.#failing = 0;
  }
}
