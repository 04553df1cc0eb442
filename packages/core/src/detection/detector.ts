/**
 * Suspicion of one service's upstreams from one daemon's real requests. Every upstream is judged
 * against the others of the service at the same time, so a wave that slows all of them accuses
 * none.
 */
import { Table } from '../tables/index.js';
import { computeCompletedRatio, computeFailureRatio, computePendingRatio } from './likelihood.js';
import { SurvivalHistogram } from './survival-histogram.js';
import type { PendingRequest, RequestEnd, UpstreamScore } from './types.js';
import { UpstreamRecord } from './upstream-record.js';

const DECAY_INTERVAL_MS = 1000;
const DECAY_FACTOR = 0.93;
const MIN_BASELINE_COUNT = 50;
const RECENT_MS = 1000;
const OLD_CONNECTION_DISCOUNT = 0.6;

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

export class Detector {
  readonly #records = new Map<string, UpstreamRecord>();

  readonly #times = new Map<string, SurvivalHistogram>();

  readonly #pending = new Table<PendingRequest>();

  #decayedAt = Number.NEGATIVE_INFINITY;

  recordStart(request: PendingRequest): void {
    this.#pending.put(request);
  }

  /** Takes in the end of a request; `abandoned` means that it was given up unanswered. */
  recordEnd(id: string, end: RequestEnd, now: number): void {
    const request = this.#pending.get(id);
    if (!request) return;
    this.#pending.remove(id);
    if (end === 'abandoned') this.#recordAbandoned(request, now);
    else this.#recordFinished(request, end === 'failed', now);
  }

  /** Lets a request that the upstream refused unrun leave no trace. */
  forget(id: string): void {
    this.#pending.remove(id);
  }

  resetUpstream(upstreamId: string): void {
    this.#getRecord(upstreamId).reset();
  }

  /** Drops what is known of upstreams that are no longer listed. */
  keepOnly(upstreamIds: ReadonlySet<string>): void {
    [...this.#records.keys()]
      .filter((id) => !upstreamIds.has(id))
      .forEach((id) => this.#records.delete(id));
  }

  /** Share of requests of this kind, at the service's other upstreams, that take this long. */
  computeSurvival(upstreamId: string, kind: string, elapsedMs: number): number | undefined {
    const times = this.#getTimes(kind);
    const own = this.#getRecord(upstreamId).getTimes(kind);
    if (times.total - own.total < MIN_BASELINE_COUNT) return undefined;
    return times.computeSurvival(elapsedMs, own);
  }

  /** Computes the scores of all upstreams that this daemon has used. */
  computeScores(now: number): readonly UpstreamScore[] {
    this.#decayIfDue(now);
    const raw = [...this.#records.entries()].map(([upstreamId, record]) => ({
      upstreamId,
      score: Math.max(record.slowness + this.#sumPending(upstreamId, now), record.failing),
      answeredRecently: now - record.answeredAt <= RECENT_MS,
    }));
    const common = computeMedian(raw.map(({ score }) => score));
    return raw.map((row) => ({ ...row, score: Math.max(0, row.score - common) }));
  }

  #sumPending(upstreamId: string, now: number): number {
    return this.#pending
      .list()
      .filter((request) => request.upstreamId === upstreamId)
      .reduce((sum, request) => sum + this.#computePending(request, now), 0);
  }

  #computePending(request: PendingRequest, now: number): number {
    const { upstreamId, kind, startedAt, freshConnection } = request;
    const survival = this.computeSurvival(upstreamId, kind, now - startedAt);
    if (survival === undefined) return 0;
    return computePendingRatio(survival) * (freshConnection ? 1 : OLD_CONNECTION_DISCOUNT);
  }

  #recordAbandoned(request: PendingRequest, now: number): void {
    this.#getRecord(request.upstreamId).addSlowness(this.#computePending(request, now));
  }

  #recordFinished(request: PendingRequest, failed: boolean, now: number): void {
    const { upstreamId, kind, startedAt } = request;
    const record = this.#getRecord(upstreamId);
    record.addEnd(failed, computeFailureRatio(failed, this.#computeFailureRate(record)), now);
    if (failed) return;
    const survival = this.computeSurvival(upstreamId, kind, now - startedAt);
    if (survival !== undefined) record.addSlowness(computeCompletedRatio(survival));
    this.#getTimes(kind).record(now - startedAt);
    record.getTimes(kind).record(now - startedAt);
  }

  #computeFailureRate(without: UpstreamRecord): number {
    const others = [...this.#records.values()].filter((record) => record !== without);
    const failures = others.reduce((sum, record) => sum + record.failures, 0);
    const ends = others.reduce((sum, record) => sum + record.ends, 0);
    return failures / (ends + 1);
  }

  #getRecord(upstreamId: string): UpstreamRecord {
    const known = this.#records.get(upstreamId);
    if (known) return known;
    const record = new UpstreamRecord();
    this.#records.set(upstreamId, record);
    return record;
  }

  #getTimes(kind: string): SurvivalHistogram {
    const known = this.#times.get(kind);
    if (known) return known;
    const times = new SurvivalHistogram();
    this.#times.set(kind, times);
    return times;
  }

  #decayIfDue(now: number): void {
    if (now - this.#decayedAt < DECAY_INTERVAL_MS) return;
    this.#decayedAt = now;
    this.#times.forEach((times) => times.decay(DECAY_FACTOR));
    this.#records.forEach((record) => record.decay(DECAY_FACTOR));
  }
}
