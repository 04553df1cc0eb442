/**
 * Decides when a daemon reports what it knows of requests that end upstreams: what it has seen itself
 * at once and twice more, since datagrams are lost. Dispatchers also pass on what they learn, and
 * repeat it at intervals as long as requests are quarantined. A daemon that has just started asks
 * them.
 */
import type { Clock, ReportEffect, SuspectRequest } from '@baobabline/core';

import { formatQuarantineReport, parseQuarantineReport } from './quarantine-message.js';

export type QuarantineReportsDependencies = {
  readonly clock: Clock;
  readonly listReportable: () => readonly SuspectRequest[];
  readonly isDispatcher: () => boolean;
  /** Number of daemons that receive a report. */
  readonly countRecipients: () => number;
  readonly send: (body: Buffer) => void;
  readonly sendQuery: (body: Buffer) => void;
  /** Sends an answer to the daemon that has asked. */
  readonly sendTo: (body: Buffer, address: string) => void;
  /** Takes in a report; returns what each row of it did. */
  readonly apply: (suspects: readonly SuspectRequest[]) => readonly ReportEffect[];
};

const CHANGE_DELAY_MS = 5;
/** Bounds the reports while many changes come. */
const MIN_INTERVAL_MS = 50;
/** A change is reported this many times more, at this interval. */
const CHANGE_REPEATS = 2;
const CHANGE_REPEAT_INTERVAL_MS = 200;
const MIN_REPEAT_INTERVAL_MS = 1000;
/** Reports are repeated less often to many daemons, so that traffic does not grow with the fleet. */
const REPEAT_MS_PER_RECIPIENT = 25;
/** Rows in a datagram; one of them takes up to 150 bytes. */
const ROWS_PER_DATAGRAM = 8;
const MAX_DATAGRAMS = 8;

export class QuarantineReports {
  readonly #dependencies: QuarantineReportsDependencies;

  #timer: NodeJS.Timeout | undefined;

  #queryTimers: readonly NodeJS.Timeout[] = [];

  /** How often the last change is still to be reported. */
  #sendsLeft = 0;

  #sentAt = Number.NEGATIVE_INFINITY;

  constructor(dependencies: QuarantineReportsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Asks the dispatchers for what they know, more than once. */
  start(): void {
    const { clock, sendQuery } = this.#dependencies;
    const ask = (): void =>
      sendQuery(formatQuarantineReport({ isQuery: true, suspects: [] }, clock.now()));
    ask();
    this.#queryTimers = Array.from({ length: CHANGE_REPEATS }, (_, index) =>
      setTimeout(ask, (index + 1) * CHANGE_REPEAT_INTERVAL_MS),
    );
  }

  /** Schedules reports of a change. */
  recordChange(): void {
    this.#sendsLeft = CHANGE_REPEATS + 1;
    const earliestMs = this.#sentAt + MIN_INTERVAL_MS - this.#dependencies.clock.now();
    this.#schedule(Math.max(CHANGE_DELAY_MS, earliestMs));
  }

  /** Repeats the report if it is due; to be called several times a second. */
  runTick(): void {
    const { clock, isDispatcher, countRecipients, listReportable } = this.#dependencies;
    const elapsedMs = clock.now() - this.#sentAt;
    if (elapsedMs < MIN_REPEAT_INTERVAL_MS || !isDispatcher()) return;
    if (elapsedMs < countRecipients() * REPEAT_MS_PER_RECIPIENT) return;
    if (listReportable().length > 0) this.#send();
  }

  /** Accepts the body of a datagram; returns whether it is a valid report. */
  accept(body: Buffer, sender: string): boolean {
    const { clock, apply, sendTo, isDispatcher } = this.#dependencies;
    const report = parseQuarantineReport(body, clock.now());
    if (!report) return false;
    if (report.isQuery) this.#listBodies().forEach((answer) => sendTo(answer, sender));
    const effects = apply(report.suspects);
    const shouldPassOn = effects.includes('learned') && isDispatcher();
    if (shouldPassOn || effects.includes('refuted')) this.recordChange();
    return true;
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#queryTimers.forEach((timer) => clearTimeout(timer));
  }

  #schedule(delayMs: number): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => this.#send(), delayMs);
  }

  #send(): void {
    this.#sentAt = this.#dependencies.clock.now();
    this.#listBodies().forEach((body) => this.#dependencies.send(body));
    this.#sendsLeft -= 1;
    if (this.#sendsLeft > 0) this.#schedule(CHANGE_REPEAT_INTERVAL_MS);
  }

  /** The rows that were added last, as far as the datagrams hold them. */
  #listBodies(): readonly Buffer[] {
    const { clock, listReportable } = this.#dependencies;
    const rows = listReportable().slice(-ROWS_PER_DATAGRAM * MAX_DATAGRAMS);
    const count = Math.ceil(rows.length / ROWS_PER_DATAGRAM);
    return Array.from({ length: count }, (_, index) =>
      formatQuarantineReport(
        {
          isQuery: false,
          suspects: rows.slice(index * ROWS_PER_DATAGRAM, (index + 1) * ROWS_PER_DATAGRAM),
        },
        clock.now(),
      ),
    );
  }
}
