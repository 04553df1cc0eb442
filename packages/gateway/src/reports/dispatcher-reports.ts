/**
 * Tells the other dispatchers what this daemon has just seen: outcomes of attempts to all of them at
 * once, requests in flight often to those of its data centre and seldom to the others, which place
 * few requests at the same upstreams. Messages are bounded in rate and size; what does not fit is
 * the oldest, which matters least.
 */
import type { Clock, AttemptOutcome } from '@baobabline/core';

import { computeUpstreamName } from './report-message.js';
import type { DispatcherReport } from './report-message.js';

/** Dispatchers that share a report. */
export type ReportAudience = 'near' | 'far';

export type ReportPorts = {
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
const FEW_PEERS = 4;
const MAX_OUTCOMES = 64;
const AUDIENCES: readonly ReportAudience[] = ['near', 'far'];

export class DispatcherReports {
  readonly #ports: ReportPorts;

  #outcomes: readonly AttemptOutcome[] = [];

  #sequence = 0;

  #outcomeTimer: NodeJS.Timeout | undefined;

  readonly #loadTimers = new Map<ReportAudience, NodeJS.Timeout>();

  constructor(ports: ReportPorts) {
    this.#ports = ports;
  }

  /** Notes an outcome to be told with the next report. */
  recordOutcome(event: AttemptOutcome): void {
    this.#outcomes = [...this.#outcomes, event].slice(-MAX_OUTCOMES);
    this.#outcomeTimer ??= setTimeout(() => this.#sendOutcomes(), OUTCOME_DELAY_MS);
  }

  /** Notes that requests in flight have changed. */
  recordLoad(): void {
    const crowd = Math.max(1, this.#ports.countPeers() / FEW_PEERS);
    AUDIENCES.filter((audience) => !this.#loadTimers.has(audience)).forEach((audience) =>
      this.#loadTimers.set(
        audience,
        setTimeout(() => this.#sendLoad(audience), LOAD_DELAY_MS[audience] * crowd),
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
    AUDIENCES.forEach((audience) => this.#ports.send(report, audience));
  }

  #sendLoad(audience: ReportAudience): void {
    this.#loadTimers.delete(audience);
    this.#ports.send(this.#buildReport(this.#ports.listInFlight(), []), audience);
  }

  #buildReport(
    inFlight: readonly (readonly [string, number])[] | undefined,
    outcomes: readonly AttemptOutcome[],
  ): DispatcherReport {
    const { selfId, incarnation, clock } = this.#ports;
    const now = clock.now();
    this.#sequence += 1;
    return {
      reporterId: selfId,
      incarnation,
      sequence: this.#sequence,
      inFlight: inFlight?.map(([id, count]) => [computeUpstreamName(id), count] as const),
      outcomes: outcomes.map(({ upstreamId, isGood, at }) => ({
        upstream: computeUpstreamName(upstreamId),
        isGood,
        ageMs: now - at,
      })),
    };
  }
}
