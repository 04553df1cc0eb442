/**
 * Reports this daemon's observations to the other dispatchers. Outcomes of attempts go to all of them
 * almost at once. Requests in flight go often to the dispatchers of the same data centre and less
 * often to the others, which send few requests to the same upstreams. Reports are limited in rate
 * and size; the oldest outcomes are dropped first, since they matter least.
 */
import type { Clock, AttemptOutcome } from '@baobabline/core';

import { computeUpstreamHash } from './report-message.js';
import type { DispatcherReport } from './report-message.js';

/** The dispatchers of this data centre, or those of all others. */
export type ReportAudience = 'near' | 'far';

export type DispatcherReportsDependencies = {
  readonly clock: Clock;
  readonly selfId: string;
  /** Start of this daemon as its peers know it; rises if they take an earlier start for newer. */
  readonly getIncarnation: () => number;
  readonly listInFlight: () => readonly (readonly [string, number])[];
  /** Number of dispatchers that receive the reports. */
  readonly countPeers: () => number;
  readonly send: (report: DispatcherReport, audience: ReportAudience) => void;
};

/** Batch delay; short, since requests sent before a failure is reported may fail like it. */
const OUTCOME_DELAY_MS = 10;
/** Batch delay of load reports in milliseconds; an attempt takes several times as long. */
const LOAD_DELAY_MS: Readonly<Record<ReportAudience, number>> = { near: 60, far: 300 };
/** With more peers, load reports are sent less often, so that traffic does not grow with peers. */
const FULL_RATE_PEERS = 4;
const MAX_OUTCOMES = 64;
const AUDIENCES: readonly ReportAudience[] = ['near', 'far'];

export class DispatcherReports {
  readonly #dependencies: DispatcherReportsDependencies;

  #outcomes: readonly AttemptOutcome[] = [];

  #sequence = 0;

  #outcomeTimer: NodeJS.Timeout | undefined;

  readonly #loadTimers = new Map<ReportAudience, NodeJS.Timeout>();

  constructor(dependencies: DispatcherReportsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Adds an outcome to the next report. */
  recordOutcome(event: AttemptOutcome): void {
    this.#outcomes = [...this.#outcomes, event].slice(-MAX_OUTCOMES);
    this.#outcomeTimer ??= setTimeout(() => this.#sendOutcomes(), OUTCOME_DELAY_MS);
  }

  /** Schedules load reports after the number of requests in flight has changed. */
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
    outcomes: readonly AttemptOutcome[],
  ): DispatcherReport {
    const { selfId, getIncarnation, clock } = this.#dependencies;
    const now = clock.now();
    this.#sequence += 1;
    return {
      reporterId: selfId,
      incarnation: getIncarnation(),
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
