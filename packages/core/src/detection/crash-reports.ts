/**
 * Requests that were in flight when an upstream crashed, which shows as a lost connection. A
 * request whose fingerprint appears in two crash reports is quarantined. These crashes do not
 * count as suspicion against the upstreams.
 */
import type { Clock } from '../runtime/index.js';
import { Table } from '../tables/index.js';

export type CrashReport = {
  /** `<fingerprint>|<reporter>|<attempt>`, so that each crash has one row. */
  readonly id: string;
  readonly fingerprint: string;
  readonly upstreamId: string;
};

type ReceivedReport = CrashReport & { readonly receivedAt: number };

const QUARANTINE_MS = 60_000;
const CRASHES_TO_QUARANTINE = 2;

export class CrashReports {
  readonly #reports = new Table<ReceivedReport>();

  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get isEmpty(): boolean {
    return this.#reports.size === 0;
  }

  add(reports: readonly CrashReport[]): void {
    const receivedAt = this.#clock.now();
    reports
      .filter((report) => !this.#reports.has(report.id))
      .forEach((report) => this.#reports.put({ ...report, receivedAt }));
  }

  countCrashes(fingerprint: string): number {
    return this.#reports.list().filter((report) => report.fingerprint === fingerprint).length;
  }

  isQuarantined(fingerprint: string): boolean {
    return this.countCrashes(fingerprint) >= CRASHES_TO_QUARANTINE;
  }

  /** Lists reports received within the last `maxAgeMs`, to send to the other dispatchers. */
  listRecent(maxAgeMs: number): readonly CrashReport[] {
    const oldest = this.#clock.now() - maxAgeMs;
    return this.#reports
      .list()
      .filter((report) => report.receivedAt >= oldest)
      .map(({ id, fingerprint, upstreamId }) => ({ id, fingerprint, upstreamId }));
  }

  runTick(): void {
    const oldest = this.#clock.now() - QUARANTINE_MS;
    this.#reports
      .list()
      .filter((report) => report.receivedAt < oldest)
      .forEach((report) => this.#reports.remove(report.id));
  }
}
