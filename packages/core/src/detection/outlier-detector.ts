/**
 * Outlier detection among the upstreams of one service, from the requests of one daemon. Every
 * upstream is compared with the others of the service over the same period, so a slowdown of all of
 * them raises no suspicion.
 */
import { Table } from '../tables/index.js';
import { computeCompletedRatio, computeFailureRatio, computePendingRatio } from './likelihood.js';
import { SurvivalHistogram } from './survival-histogram.js';
import type { PendingRequest, RequestEnd, UpstreamScore } from './types.js';
import { UpstreamRecord } from './upstream-record.js';

const DECAY_INTERVAL_MS = 1000;
const DECAY_FACTOR = 0.93;
const MIN_BASELINE_REQUESTS = 50;
const RECENT_ANSWER_MS = 1000;
// A request on an old connection counts less, since the connection may be at fault instead.
const OLD_CONNECTION_WEIGHT = 0.6;

function computeMedian(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

export class OutlierDetector {
  readonly #records = new Map<string, UpstreamRecord>();

  readonly #latenciesByKind = new Map<string, SurvivalHistogram>();

  readonly #pending = new Table<PendingRequest>();

  #decayedAt = Number.NEGATIVE_INFINITY;

  recordStart(request: PendingRequest): void {
    this.#pending.put(request);
  }

  /** Records the end of a request; `abandoned` means that the daemon stopped waiting for an answer. */
  recordEnd(id: string, end: RequestEnd, now: number): void {
    const request = this.#pending.get(id);
    if (!request) return;
    this.#pending.remove(id);
    if (end === 'abandoned') this.#recordAbandoned(request, now);
    else this.#recordFinished(request, end === 'failed', now);
  }

  /** Discards a request that must not count, such as one that the upstream refused unrun. */
  discardRequest(id: string): void {
    this.#pending.remove(id);
  }

  resetUpstream(upstreamId: string): void {
    this.#getRecord(upstreamId).reset();
  }

  /** Removes the records of upstreams that are not in `upstreamIds`. */
  pruneUpstreams(upstreamIds: ReadonlySet<string>): void {
    [...this.#records.keys()]
      .filter((id) => !upstreamIds.has(id))
      .forEach((id) => this.#records.delete(id));
  }

  /**
   * Share of requests of this kind at the service's other upstreams that take at least `elapsedMs`;
   * `undefined` while too few of them have completed.
   */
  computeSurvival(upstreamId: string, kind: string, elapsedMs: number): number | undefined {
    const latencies = this.#getLatencies(kind);
    const own = this.#getRecord(upstreamId).getLatencies(kind);
    if (latencies.total - own.total < MIN_BASELINE_REQUESTS) return undefined;
    return latencies.computeSurvival(elapsedMs, own);
  }

  /** Computes the scores of all upstreams that this daemon has used, less their median score. */
  computeScores(now: number): readonly UpstreamScore[] {
    this.#decayIfDue(now);
    const raw = [...this.#records.entries()].map(([upstreamId, record]) => ({
      upstreamId,
      score: Math.max(
        record.slownessScore + this.#sumPendingRatios(upstreamId, now),
        record.failureScore,
      ),
      answeredRecently: now - record.answeredAt <= RECENT_ANSWER_MS,
    }));
    const median = computeMedian(raw.map(({ score }) => score));
    return raw.map((row) => ({ ...row, score: Math.max(0, row.score - median) }));
  }

  #sumPendingRatios(upstreamId: string, now: number): number {
    return this.#pending
      .list()
      .filter((request) => request.upstreamId === upstreamId)
      .reduce((sum, request) => sum + this.#computeWeightedPendingRatio(request, now), 0);
  }

  #computeWeightedPendingRatio(request: PendingRequest, now: number): number {
    const { upstreamId, kind, startedAt, freshConnection } = request;
    const survival = this.computeSurvival(upstreamId, kind, now - startedAt);
    if (survival === undefined) return 0;
    return computePendingRatio(survival) * (freshConnection ? 1 : OLD_CONNECTION_WEIGHT);
  }

  #recordAbandoned(request: PendingRequest, now: number): void {
    this.#getRecord(request.upstreamId).addSlownessRatio(
      this.#computeWeightedPendingRatio(request, now),
    );
  }

  #recordFinished(request: PendingRequest, failed: boolean, now: number): void {
    const { upstreamId, kind, startedAt } = request;
    const record = this.#getRecord(upstreamId);
    record.recordFinished(
      failed,
      computeFailureRatio(failed, this.#computeFailureRate(record)),
      now,
    );
    if (failed) return;
    const survival = this.computeSurvival(upstreamId, kind, now - startedAt);
    if (survival !== undefined) record.addSlownessRatio(computeCompletedRatio(survival));
    this.#getLatencies(kind).record(now - startedAt);
    record.getLatencies(kind).record(now - startedAt);
  }

  #computeFailureRate(excluded: UpstreamRecord): number {
    const others = [...this.#records.values()].filter((record) => record !== excluded);
    const failures = others.reduce((sum, record) => sum + record.failureCount, 0);
    const finished = others.reduce((sum, record) => sum + record.finishedCount, 0);
    return failures / (finished + 1);
  }

  #getRecord(upstreamId: string): UpstreamRecord {
    const known = this.#records.get(upstreamId);
    if (known) return known;
    const record = new UpstreamRecord();
    this.#records.set(upstreamId, record);
    return record;
  }

  #getLatencies(kind: string): SurvivalHistogram {
    const known = this.#latenciesByKind.get(kind);
    if (known) return known;
    const latencies = new SurvivalHistogram();
    this.#latenciesByKind.set(kind, latencies);
    return latencies;
  }

  #decayIfDue(now: number): void {
    if (now - this.#decayedAt < DECAY_INTERVAL_MS) return;
    this.#decayedAt = now;
    this.#latenciesByKind.forEach((latencies) => latencies.decay(DECAY_FACTOR));
    this.#records.forEach((record) => record.decay(DECAY_FACTOR));
  }
}
