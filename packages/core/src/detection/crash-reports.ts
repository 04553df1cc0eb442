/**
 * Requests that were in flight when an upstream's connection broke. A fingerprint seen at two
 * such crashes is quarantined; the upstreams that fell are not held to be sick for it.
 */
import type { Clock } from '../runtime/index.js';
import { Table } from '../tables/index.js';

export type CrashReport = {
  /** `<fingerprint>|<reporter>|<attempt>`: one row a crash. */
  readonly id: string;
  readonly fingerprint: string;
  readonly upstreamId: string;
};

type HeldReport = CrashReport & { readonly heardAt: number };

const QUARANTINE_MS = 60_000;
const CRASHES_TO_QUARANTINE = 2;

export class CrashReports {
  readonly #reports = new Table<HeldReport>();

  readonly #clock: Clock;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  get isEmpty(): boolean {
    return this.#reports.size === 0;
  }

  add(reports: readonly CrashReport[]): void {
    const heardAt = this.#clock.now();
    reports
      .filter((report) => !this.#reports.has(report.id))
      .forEach((report) => this.#reports.put({ ...report, heardAt }));
  }

  countCrashes(fingerprint: string): number {
    return this.#reports.list().filter((report) => report.fingerprint === fingerprint).length;
  }

  isQuarantined(fingerprint: string): boolean {
    return this.countCrashes(fingerprint) >= CRASHES_TO_QUARANTINE;
  }

  /** Reports of the last moments, to be told to the other dispatchers of the service. */
  listRecent(maxAgeMs: number): readonly CrashReport[] {
    const oldest = this.#clock.now() - maxAgeMs;
    return this.#reports
      .list()
      .filter((report) => report.heardAt >= oldest)
      .map(({ id, fingerprint, upstreamId }) => ({ id, fingerprint, upstreamId }));
  }

  runTick(): void {
    const oldest = this.#clock.now() - QUARANTINE_MS;
    this.#reports
      .list()
      .filter((report) => report.heardAt < oldest)
      .forEach((report) => this.#reports.remove(report.id));
  }
}
