/**
 * Receives the reports of other dispatchers and drops duplicate and outdated ones, since datagrams
 * may arrive twice or out of order.
 */
import { parseReport } from './report-message.js';
import type { DispatcherReport } from './report-message.js';

export class ReportInbox {
  readonly #onReport: (report: DispatcherReport) => void;

  readonly #seen = new Map<string, readonly [incarnation: number, sequence: number]>();

  constructor(onReport: (report: DispatcherReport) => void) {
    this.#onReport = onReport;
  }

  /** Accepts the body of a datagram; returns whether it is a valid report, even if outdated. */
  accept(body: Buffer): boolean {
    const report = parseReport(body);
    if (!report) return false;
    const { reporterId, incarnation, sequence } = report;
    const [seenIncarnation, seenSequence] = this.#seen.get(reporterId) ?? [0, 0];
    const isOld =
      incarnation < seenIncarnation ||
      (incarnation === seenIncarnation && sequence <= seenSequence);
    if (isOld) return true;
    this.#seen.set(reporterId, [incarnation, sequence]);
    this.#onReport(report);
    return true;
  }
}
