/**
 * Upstreams that do not answer new connections or say that they are leaving. An unreachable one
 * is probed, ever less often, until it answers.
 */
import type { Clock } from '@baobabline/core';
import { Table } from '@baobabline/core';
import { Client } from 'undici';

export type Probe = (address: string, port: number, timeoutMs: number) => Promise<boolean>;

type Absence = {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly nextProbeAt: number;
  readonly failures: number;
};

type Drain = { readonly id: string; readonly until: number };

const FIRST_PROBE_MS = 200;
const MAX_PROBE_MS = 5000;
const PROBE_TIMEOUT_MS = 500;
const DRAIN_MEMORY_MS = 15_000;

/**
 * Whether an upstream answers anything at all on a new connection within the time. The answer of
 * a health endpoint may lie, but that one comes shows that the process is there.
 */
export async function checkAnswers(
  address: string,
  port: number,
  timeoutMs: number,
): Promise<boolean> {
  const client = new Client(`http://${address}:${port}`, { connect: { timeout: timeoutMs } });
  try {
    const response = await client.request({
      method: 'GET',
      path: '/health',
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    await response.body.dump();
    return true;
  } catch {
    return false;
  } finally {
    client.destroy().catch(() => undefined);
  }
}

export class UpstreamReachability {
  readonly #absences = new Table<Absence>();

  readonly #drains = new Table<Drain>();

  readonly #clock: Clock;

  readonly #probe: Probe;

  constructor(clock: Clock, probe: Probe = checkAnswers) {
    this.#clock = clock;
    this.#probe = probe;
  }

  isReachable(upstreamId: string): boolean {
    return !this.#absences.has(upstreamId);
  }

  isDraining(upstreamId: string): boolean {
    return this.#drains.has(upstreamId);
  }

  listUnreachable(): readonly string[] {
    return this.#absences.list().map(({ id }) => id);
  }

  recordUnreachable(id: string, address: string, port: number): void {
    if (this.#absences.has(id)) return;
    const nextProbeAt = this.#clock.now() + FIRST_PROBE_MS;
    this.#absences.put({ id, address, port, nextProbeAt, failures: 0 });
  }

  recordDraining(id: string): void {
    this.#drains.put({ id, until: this.#clock.now() + DRAIN_MEMORY_MS });
  }

  /** Probes absent upstreams that are due. */
  runTick(): void {
    const now = this.#clock.now();
    this.#drains
      .list()
      .filter((drain) => drain.until <= now)
      .forEach((drain) => this.#drains.remove(drain.id));
    this.#absences
      .list()
      .filter((absence) => absence.nextProbeAt <= now)
      .forEach((absence) => this.#probeAbsent(absence, now));
  }

  #probeAbsent(absence: Absence, now: number): void {
    const failures = absence.failures + 1;
    const pause = Math.min(MAX_PROBE_MS, FIRST_PROBE_MS * 2 ** failures);
    this.#absences.put({ ...absence, failures, nextProbeAt: now + pause + PROBE_TIMEOUT_MS });
    this.#probe(absence.address, absence.port, PROBE_TIMEOUT_MS)
      .then((answers) => answers && this.#absences.remove(absence.id))
      .catch(() => undefined);
  }
}
