/**
 * Pools the evidence of all daemons that dispatch a service and derives a verdict on each upstream.
 * The fleet-wide verdict is a pure function of the evidence, so daemons with the same rows agree.
 */
import type { Clock } from '../runtime/index.js';
import { Table } from '../tables/index.js';
import type { Evidence, UpstreamScore } from './types.js';

type ReceivedEvidence = Evidence & { readonly receivedAt: number };

export type Verdict = {
  readonly upstreamId: string;
  /** `fleet`: the upstream is unhealthy. `local`: only this daemon's link to it is bad. */
  readonly scope: 'none' | 'local' | 'fleet';
  readonly score: number;
  readonly accusers: readonly string[];
};

export type SuspicionThreshold = {
  /** Lowest pooled score at which an upstream counts as unhealthy for the whole fleet. */
  readonly pooled: number;
  /** Lowest own score at which a single daemon stops using an upstream. */
  readonly local: number;
};

const EVIDENCE_TTL_MS = 1500;
const MIN_ACCUSER_SCORE = 2;
const MIN_ACCUSERS = 2;
const BASE_THRESHOLD = 13;
const THRESHOLD_STEP_PER_DOUBLING = 1;
const MIN_THRESHOLD = 6;
const MAX_THRESHOLD = 24;

/**
 * Computes the thresholds from a service's weights. Equal weights give the base threshold. Each
 * doubling of the weight of false ejections relative to detection time raises it by one. Scores are
 * natural logarithms, so that makes a false ejection about e (2.7) times rarer.
 */
export function computeThreshold(
  detectionWeight: number,
  falseEjectionWeight: number,
): SuspicionThreshold {
  const ratio = Math.max(falseEjectionWeight, 0.01) / Math.max(detectionWeight, 0.01);
  const score = BASE_THRESHOLD + THRESHOLD_STEP_PER_DOUBLING * Math.log2(ratio);
  const pooled = Math.min(MAX_THRESHOLD, Math.max(MIN_THRESHOLD, score));
  return { pooled, local: pooled };
}

function isAccuser(evidence: Evidence): boolean {
  return evidence.score >= MIN_ACCUSER_SCORE;
}

function isCounterEvidence(evidence: Evidence): boolean {
  return !isAccuser(evidence) && evidence.answeredRecently;
}

function countDataCentres(rows: readonly Evidence[]): number {
  return new Set(rows.map((row) => row.reporterDataCentre)).size;
}

function isUnhealthyFleetWide(
  rows: readonly Evidence[],
  pooledScore: number,
  threshold: number,
): boolean {
  const accusers = rows.filter(isAccuser);
  if (pooledScore < threshold || accusers.length < MIN_ACCUSERS) return false;
  return countDataCentres(accusers) > 1 || !rows.some(isCounterEvidence);
}

/** Judges one upstream by all evidence about it and by this daemon's own score. */
export function judgeUpstream(
  upstreamId: string,
  rows: readonly Evidence[],
  ownScore: number,
  threshold: SuspicionThreshold,
): Verdict {
  const accusers = rows.filter(isAccuser);
  const score = accusers.reduce((sum, row) => sum + row.score, 0);
  const accuserIds = accusers.map((row) => row.reporterId);
  if (isUnhealthyFleetWide(rows, score, threshold.pooled)) {
    return { upstreamId, scope: 'fleet', score, accusers: accuserIds };
  }
  const scope = ownScore >= threshold.local ? 'local' : 'none';
  return { upstreamId, scope, score: ownScore, accusers: accuserIds };
}

export class EvidencePool {
  readonly #rows = new Table<ReceivedEvidence>();

  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#rows.size;
  }

  add(rows: readonly Evidence[]): void {
    const receivedAt = this.#clock.now();
    rows.forEach((row) => this.#rows.put({ ...row, receivedAt }));
  }

  listFor(service: string): readonly Evidence[] {
    return this.#rows.list().filter((row) => row.service === service);
  }

  runTick(): void {
    const oldest = this.#clock.now() - EVIDENCE_TTL_MS;
    this.#rows
      .list()
      .filter((row) => row.receivedAt < oldest)
      .forEach((row) => this.#rows.remove(row.id));
  }
}

/**
 * Chooses the scores to report to the other dispatchers: those that accuse an upstream, and those
 * that contradict the accusation of another daemon, because the upstream answered recently.
 */
export function chooseScoresToReport(
  scores: readonly UpstreamScore[],
  accused: ReadonlySet<string>,
): readonly UpstreamScore[] {
  return scores.filter(
    (row) =>
      row.score >= MIN_ACCUSER_SCORE || (accused.has(row.upstreamId) && row.answeredRecently),
  );
}
