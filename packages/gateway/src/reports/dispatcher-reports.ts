/**
 * Tells the other dispatchers what this daemon has just seen: requests in flight and outcomes of
 * attempts. Messages are bounded in rate and size; what does not fit is the oldest, which matters
 * least.
 */
import type { Clock, Member } from '@baobabline/core';

import type { DispatcherReport, ReportedOutcome } from '../peers/index.js';

export type ReportPorts = {
  readonly clock: Clock;
  readonly selfId: string;
  /** Dispatchers other than this daemon. */
  readonly listReceivers: () => readonly Member[];
  readonly getRevision: () => number;
  readonly listInFlight: () => readonly (readonly [string, number])[];
  readonly send: (member: Member, report: DispatcherReport) => Promise<void>;
};

/** Shortest time between two reports, in milliseconds: news is old after a few of them. */
const NEWS_INTERVAL_MS = 25;
/** Longest time between two reports while requests are in flight. */
const CALM_INTERVAL_MS = 250;
const MAX_OUTCOMES = 64;

type SeenOutcome = { readonly upstreamId: string; readonly isGood: boolean; readonly at: number };

export class DispatcherReports {
  readonly #ports: ReportPorts;

  #outcomes: readonly SeenOutcome[] = [];

  #hasNews = false;

  #sentAt = Number.NEGATIVE_INFINITY;

  #wasBusy = false;

  constructor(ports: ReportPorts) {
    this.#ports = ports;
  }

  /** Notes an outcome to be told with the next report. */
  recordOutcome(upstreamId: string, isGood: boolean): void {
    const seen = { upstreamId, isGood, at: this.#ports.clock.now() };
    this.#outcomes = [...this.#outcomes, seen].slice(-MAX_OUTCOMES);
    this.#hasNews = true;
  }

  /** Notes that requests in flight have changed. */
  recordLoad(): void {
    this.#hasNews = true;
  }

  /** Sends a report if one is due. */
  runTick(): void {
    const now = this.#ports.clock.now();
    const age = now - this.#sentAt;
    const inFlight = this.#ports.listInFlight();
    const isBusy = inFlight.length > 0 || this.#wasBusy;
    const isDue = this.#hasNews ? age >= NEWS_INTERVAL_MS : isBusy && age >= CALM_INTERVAL_MS;
    if (!isDue) return;
    this.#wasBusy = inFlight.length > 0;
    this.#sentAt = now;
    this.#send(this.#buildReport(inFlight, now));
    this.#outcomes = [];
    this.#hasNews = false;
  }

  #buildReport(inFlight: readonly (readonly [string, number])[], now: number): DispatcherReport {
    const outcomes: ReportedOutcome[] = this.#outcomes.map(({ upstreamId, isGood, at }) => ({
      upstreamId,
      isGood,
      ageMs: now - at,
    }));
    const { selfId, getRevision } = this.#ports;
    return {
      reporterId: selfId,
      revision: getRevision(),
      inFlight: inFlight.map(([id, count]): [string, number] => [id, count]),
      outcomes,
    };
  }

  #send(report: DispatcherReport): void {
    this.#ports.listReceivers().forEach((member) => {
      // A lost report is made up for by the next; who is gone is found by following and gossip.
      this.#ports.send(member, report).catch(() => undefined);
    });
  }
}
