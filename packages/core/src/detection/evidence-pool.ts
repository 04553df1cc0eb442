/**
 * Evidence of all daemons that dispatch a service, and the verdict on each upstream. The verdict
 * is a pure function of the evidence, so daemons with the same rows agree.
 */
import type { Clock } from '../runtime/index.js';
import { Table } from '../tables/index.js';
import type { Evidence, UpstreamScore } from './types.js';

type HeldEvidence = Evidence & { readonly heardAt: number };

export type Verdict = {
  readonly upstreamId: string;
  /** `fleet`: sick for all. `local`: only this daemon's link is bad. */
  readonly scope: 'none' | 'local' | 'fleet';
  readonly score: number;
  readonly accusers: readonly string[];
};

export type SuspicionThreshold = {
  /** Pooled score from which an upstream is held to be sick. */
  readonly pooled: number;
  /** Own score from which a daemon alone routes round an upstream. */
  readonly local: number;
};

const EVIDENCE_LIFE_MS = 1500;
const ACCUSER_SCORE = 2;
const MIN_ACCUSERS = 2;
const BASE_THRESHOLD = 13;
const CAUTION_STEP = 1;
const MIN_THRESHOLD = 6;
const MAX_THRESHOLD = 24;

/**
 * Computes the thresholds from a plan's weights. Equal weights give the base; each doubling of
 * the weight of false ejections over that of detection time raises the score that is asked for,
 * which makes a false ejection about three times rarer (e).
 */
export function computeThreshold(
  detectionWeight: number,
  falseEjectionWeight: number,
): SuspicionThreshold {
  const ratio = Math.max(falseEjectionWeight, 0.01) / Math.max(detectionWeight, 0.01);
  const score = BASE_THRESHOLD + CAUTION_STEP * Math.log2(ratio);
  const pooled = Math.min(MAX_THRESHOLD, Math.max(MIN_THRESHOLD, score));
  return { pooled, local: pooled };
}

function isAccuser(evidence: Evidence): boolean {
  return evidence.score >= ACCUSER_SCORE;
}

function isDefender(evidence: Evidence): boolean {
  return !isAccuser(evidence) && evidence.answeredRecently;
}

function countDataCentres(rows: readonly Evidence[]): number {
  return new Set(rows.map((row) => row.reporterDataCentre)).size;
}

function isSickForAll(rows: readonly Evidence[], pooledScore: number, needed: number): boolean {
  const accusers = rows.filter(isAccuser);
  if (pooledScore < needed || accusers.length < MIN_ACCUSERS) return false;
  return countDataCentres(accusers) > 1 || !rows.some(isDefender);
}

/** Judges one upstream from all evidence about it and from this daemon's own score. */
export function judgeUpstream(
  upstreamId: string,
  rows: readonly Evidence[],
  ownScore: number,
  threshold: SuspicionThreshold,
): Verdict {
  const accusers = rows.filter(isAccuser);
  const score = accusers.reduce((sum, row) => sum + row.score, 0);
  const accuserIds = accusers.map((row) => row.reporterId);
  if (isSickForAll(rows, score, threshold.pooled)) {
    return { upstreamId, scope: 'fleet', score, accusers: accuserIds };
  }
  const scope = ownScore >= threshold.local ? 'local' : 'none';
  return { upstreamId, scope, score: ownScore, accusers: accuserIds };
}

export class EvidencePool {
  readonly #rows = new Table<HeldEvidence>();

  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get size(): number {
    return this.#rows.size;
  }

  add(rows: readonly Evidence[]): void {
    const heardAt = this.#clock.now();
    rows.forEach((row) => this.#rows.put({ ...row, heardAt }));
  }

  listFor(service: string): readonly Evidence[] {
    return this.#rows.list().filter((row) => row.service === service);
  }

  runTick(): void {
    const oldest = this.#clock.now() - EVIDENCE_LIFE_MS;
    this.#rows
      .list()
      .filter((row) => row.heardAt < oldest)
      .forEach((row) => this.#rows.remove(row.id));
  }
}

/** Chooses the scores worth telling: suspicions, and praise where another daemon accuses. */
export function chooseEvidenceToTell(
  scores: readonly UpstreamScore[],
  accused: ReadonlySet<string>,
): readonly UpstreamScore[] {
  return scores.filter(
    (row) => row.score >= ACCUSER_SCORE || (accused.has(row.upstreamId) && row.answeredRecently),
  );
}
