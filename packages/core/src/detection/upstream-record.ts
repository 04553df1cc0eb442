/**
 * Statistics that one daemon keeps about one upstream. The slowness and the failure score are each
 * a cumulative sum (CUSUM, Page's test) of log-likelihood ratios that never falls below zero, so a
 * long healthy period does not delay the detection of a later fault.
 */
import { SurvivalHistogram } from './survival-histogram.js';

export class UpstreamRecord {
  readonly latenciesByKind = new Map<string, SurvivalHistogram>();

  #slownessScore = 0;

  #failureScore = 0;

  #failureCount = 0;

  #finishedCount = 0;

  #answeredAt = Number.NEGATIVE_INFINITY;

  get failureCount(): number {
    return this.#failureCount;
  }

  get finishedCount(): number {
    return this.#finishedCount;
  }

  get slownessScore(): number {
    return this.#slownessScore;
  }

  get failureScore(): number {
    return this.#failureScore;
  }

  get answeredAt(): number {
    return this.#answeredAt;
  }

  getLatencies(kind: string): SurvivalHistogram {
    const known = this.latenciesByKind.get(kind);
    if (known) return known;
    const latencies = new SurvivalHistogram();
    this.latenciesByKind.set(kind, latencies);
    return latencies;
  }

  addSlownessRatio(ratio: number): void {
    this.#slownessScore = Math.max(0, this.#slownessScore + ratio);
  }

  recordFinished(failed: boolean, ratio: number, now: number): void {
    this.#failureScore = Math.max(0, this.#failureScore + ratio);
    this.#finishedCount += 1;
    if (failed) this.#failureCount += 1;
    else this.#answeredAt = now;
  }

  decay(factor: number): void {
    this.latenciesByKind.forEach((latencies) => latencies.decay(factor));
    this.#failureCount *= factor;
    this.#finishedCount *= factor;
  }

  /** Resets both scores, for example when an upstream goes on trial. */
  reset(): void {
    this.#slownessScore = 0;
    this.#failureScore = 0;
  }
}
