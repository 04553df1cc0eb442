/**
 * Tells the other dispatchers what this daemon has just seen: requests in flight and outcomes of
 * attempts. Messages are bounded in rate and size; what does not fit is the oldest, which matters
 * least.
 */
import type { Clock, TrustEvent } from '@baobabline/core';

import { computeUpstreamName } from './report-message.js';
import type { DispatcherReport } from './report-message.js';

export type ReportPorts = {
  readonly clock: Clock;
  readonly selfId: string;
  readonly incarnation: number;
  readonly listInFlight: () => readonly (readonly [string, number])[];
  /** Dispatchers that reports are sent to. */
  readonly countPeers: () => number;
  /** Sends a report to the other dispatchers. */
  readonly send: (report: DispatcherReport) => void;
};

/** How long news of an outcome waits for more: each request sent meanwhile may fail like it. */
const OUTCOME_DELAY_MS = 10;
/** How long news of the load waits for more; an attempt takes several times as long. */
const LOAD_DELAY_MS = 60;
/** With more peers than this, news of the load comes less often, so that the bytes do not grow. */
const FEW_PEERS = 4;
const MAX_OUTCOMES = 64;

export class DispatcherReports {
  readonly #ports: ReportPorts;

  #outcomes: readonly TrustEvent[] = [];

  #sequence = 0;

  #timer: NodeJS.Timeout | undefined;

  #dueAt = Number.POSITIVE_INFINITY;

  constructor(ports: ReportPorts) {
    this.#ports = ports;
  }

  /** Notes an outcome to be told with the next report. */
  recordOutcome(event: TrustEvent): void {
    this.#outcomes = [...this.#outcomes, event].slice(-MAX_OUTCOMES);
    this.#schedule(OUTCOME_DELAY_MS);
  }

  /** Notes that requests in flight have changed. */
  recordLoad(): void {
    if (this.#dueAt !== Number.POSITIVE_INFINITY) return;
    this.#schedule(LOAD_DELAY_MS * Math.max(1, this.#ports.countPeers() / FEW_PEERS));
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #schedule(delayMs: number): void {
    const dueAt = this.#ports.clock.now() + delayMs;
    if (dueAt >= this.#dueAt) return;
    this.#dueAt = dueAt;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.#send(), delayMs);
  }

  #send(): void {
    this.#dueAt = Number.POSITIVE_INFINITY;
    this.#sequence += 1;
    this.#ports.send(this.#buildReport());
    this.#outcomes = [];
  }

  #buildReport(): DispatcherReport {
    const { selfId, incarnation, listInFlight, clock } = this.#ports;
    const now = clock.now();
    return {
      reporterId: selfId,
      incarnation,
      sequence: this.#sequence,
      inFlight: listInFlight().map(([id, count]) => [computeUpstreamName(id), count] as const),
      outcomes: this.#outcomes.map(({ upstreamId, isGood, at }) => ({
        upstream: computeUpstreamName(upstreamId),
        isGood,
        ageMs: now - at,
      })),
    };
  }
}
