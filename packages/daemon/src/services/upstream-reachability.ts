/**
 * Upstreams that do not answer new connections or say that they are leaving. An unreachable one
 * is probed, ever less often, until it answers.
 */
import type { Clock } from '@baobabline/core';
import { Table } from '@baobabline/core';
import { Client } from 'undici';

export type Probe = (address: string, port: number, timeoutMs: number) => Promise<boolean>;

type UnreachableUpstream = {
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
const DRAIN_RETENTION_MS = 15_000;

/**
 * Whether an upstream answers anything at all on a new connection within the time. The answer of
 * a health endpoint may lie, but that one comes shows that the process is there.
 */
export async function checkReachable(
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
  readonly #unreachable = new Table<UnreachableUpstream>();

  readonly #drains = new Table<Drain>();

  readonly #clock: Clock;

  readonly #probe: Probe;

  constructor(clock: Clock, probe: Probe = checkReachable) {
    this.#clock = clock;
    this.#probe = probe;
  }

  isReachable(upstreamId: string): boolean {
    return !this.#unreachable.has(upstreamId);
  }

  isDraining(upstreamId: string): boolean {
    return this.#drains.has(upstreamId);
  }

  listUnreachable(): readonly string[] {
    return this.#unreachable.list().map(({ id }) => id);
  }

  recordUnreachable(id: string, address: string, port: number): void {
    if (this.#unreachable.has(id)) return;
    const nextProbeAt = this.#clock.now() + FIRST_PROBE_MS;
    this.#unreachable.put({ id, address, port, nextProbeAt, failures: 0 });
  }

  recordDraining(id: string): void {
    this.#drains.put({ id, until: this.#clock.now() + DRAIN_RETENTION_MS });
  }

  /** Probes absent upstreams that are due. */
  runTick(): void {
    const now = this.#clock.now();
    this.#drains
      .list()
      .filter((drain) => drain.until <= now)
      .forEach((drain) => this.#drains.remove(drain.id));
    this.#unreachable
      .list()
      .filter((upstream) => upstream.nextProbeAt <= now)
      .forEach((upstream) => this.#probeUnreachable(upstream, now));
  }

  #probeUnreachable(upstream: UnreachableUpstream, now: number): void {
    const failures = upstream.failures + 1;
    const backoffMs = Math.min(MAX_PROBE_MS, FIRST_PROBE_MS * 2 ** failures);
    this.#unreachable.put({
      ...upstream,
      failures,
      nextProbeAt: now + backoffMs + PROBE_TIMEOUT_MS,
    });
    this.#probe(upstream.address, upstream.port, PROBE_TIMEOUT_MS)
      .then((answers) => answers && this.#unreachable.remove(upstream.id))
      .catch(() => undefined);
  }
}
