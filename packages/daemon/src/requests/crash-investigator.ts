/**
 * Tells a crashed upstream from a broken connection: when one breaks with a request in flight,
 * a new connection is tried at once. If nothing answers on it the upstream is down, and the request
 * that was in flight is reported as the possible cause.
 */
import type { CrashReports, Upstream } from '@baobabline/core';

import type { Probe, UpstreamReachability } from '../services/index.js';

export type Loss = {
  readonly id: string;
  /** Request that was in flight; undefined if nothing of it had been sent. */
  readonly fingerprint: string | undefined;
};

export type CrashWatchPorts = {
  readonly reports: CrashReports;
  readonly reachability: UpstreamReachability;
  readonly probe: Probe;
  readonly getEndpoint: (upstream: Upstream) => { readonly address: string; readonly port: number };
};

const PROBE_TIMEOUT_MS = 500;

export class CrashWatch {
  readonly #ports: CrashWatchPorts;

  constructor(ports: CrashWatchPorts) {
    this.#ports = ports;
  }

  isQuarantined(fingerprint: string): boolean {
    return this.#ports.reports.isQuarantined(fingerprint);
  }

  /** Resolves with whether the upstream is down. */
  async investigate(upstream: Upstream, loss: Loss): Promise<boolean> {
    const { address, port } = this.#ports.getEndpoint(upstream);
    const answers = await this.#ports.probe(address, port, PROBE_TIMEOUT_MS);
    if (answers) return false;
    this.#ports.reachability.recordUnreachable(upstream.id, address, port);
    if (loss.fingerprint !== undefined) {
      this.#ports.reports.add([
        { id: loss.id, fingerprint: loss.fingerprint, upstreamId: upstream.id },
      ]);
    }
    return true;
  }
}
