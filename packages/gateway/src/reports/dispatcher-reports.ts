/**
 * Tells the other dispatchers what this daemon has just seen: outcomes of attempts to all of them at
 * once, requests in flight often to those of its data centre and seldom to the others, which place
 * few requests at the same upstreams. Messages are bounded in rate and size; what does not fit is
 * the oldest, which matters least.
 */
import type { Clock, TrustEvent } from '@baobabline/core';

import { computeUpstreamHash } from './report-message.js';
import type { DispatcherReport } from './report-message.js';

/** Dispatchers that share a report. */
export type ReportAudience = 'near' | 'far';

export type DispatcherReportsDependencies = {
  readonly clock: Clock;
  readonly selfId: string;
  readonly incarnation: number;
  readonly listInFlight: () => readonly (readonly [string, number])[];
  /** Dispatchers that reports are sent to. */
  readonly countPeers: () => number;
  readonly send: (report: DispatcherReport, audience: ReportAudience) => void;
};

/** How long news of an outcome waits for more: each request sent meanwhile may fail like it. */
const OUTCOME_DELAY_MS = 10;
/** How long news of the load waits for more; an attempt takes several times as long. */
const LOAD_DELAY_MS: Readonly<Record<ReportAudience, number>> = { near: 60, far: 300 };
/** With more peers than this, news of the load comes less often, so that the bytes do not grow. */
const FULL_RATE_PEERS = 4;
const MAX_OUTCOMES = 64;
const AUDIENCES: readonly ReportAudience[] = ['near', 'far'];

export class DispatcherReports {
  readonly #dependencies: DispatcherReportsDependencies;

  #outcomes: readonly TrustEvent[] = [];

  #sequence = 0;

  #outcomeTimer: NodeJS.Timeout | undefined;

  readonly #loadTimers = new Map<ReportAudience, NodeJS.Timeout>();

  constructor(dependencies: DispatcherReportsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Notes an outcome to be told with the next report. */
  recordOutcome(event: TrustEvent): void {
    this.#outcomes = [...this.#outcomes, event].slice(-MAX_OUTCOMES);
    this.#outcomeTimer ??= setTimeout(() => this.#sendOutcomes(), OUTCOME_DELAY_MS);
  }

  /** Notes that requests in flight have changed. */
  recordLoad(): void {
    const delayFactor = Math.max(1, this.#dependencies.countPeers() / FULL_RATE_PEERS);
    AUDIENCES.filter((audience) => !this.#loadTimers.has(audience)).forEach((audience) =>
      this.#loadTimers.set(
        audience,
        setTimeout(() => this.#sendLoad(audience), LOAD_DELAY_MS[audience] * delayFactor),
      ),
    );
  }

  stop(): void {
    clearTimeout(this.#outcomeTimer);
    this.#loadTimers.forEach((timer) => clearTimeout(timer));
  }

  #sendOutcomes(): void {
    this.#outcomeTimer = undefined;
    const report = this.#buildReport(undefined, this.#outcomes);
    this.#outcomes = [];
    AUDIENCES.forEach((audience) => this.#dependencies.send(report, audience));
  }

  #sendLoad(audience: ReportAudience): void {
    this.#loadTimers.delete(audience);
    this.#dependencies.send(this.#buildReport(this.#dependencies.listInFlight(), []), audience);
  }

  #buildReport(
    inFlight: readonly (readonly [string, number])[] | undefined,
    outcomes: readonly TrustEvent[],
  ): DispatcherReport {
    const { selfId, incarnation, clock } = this.#dependencies;
    const now = clock.now();
    this.#sequence += 1;
    return {
      reporterId: selfId,
      incarnation,
      sequence: this.#sequence,
      inFlight: inFlight?.map(([id, count]) => [computeUpstreamHash(id), count] as const),
      outcomes: outcomes.map(({ upstreamId, isGood, at }) => ({
        upstream: computeUpstreamHash(upstreamId),
        isGood,
        ageMs: now - at,
      })),
    };
  }
}
