/**
 * Distinguishes a crashed upstream from a broken connection. When a connection breaks with a request
 * in flight, the upstream is probed at once on a new connection. If the probe gets no answer, the
 * upstream is down, and the request that was in flight is reported as the possible cause.
 */
import type { CrashReports, Upstream } from '@baobabline/core';

import type { Probe, UpstreamReachability } from '../services/index.js';

export type ConnectionLoss = {
  readonly id: string;
  /** Fingerprint of the request in flight; undefined if none of it had been sent. */
  readonly fingerprint: string | undefined;
};

export type CrashInvestigatorDependencies = {
  readonly reports: CrashReports;
  readonly reachability: UpstreamReachability;
  readonly probe: Probe;
  readonly getEndpoint: (upstream: Upstream) => { readonly address: string; readonly port: number };
};

const PROBE_TIMEOUT_MS = 500;

export class CrashInvestigator {
  readonly #dependencies: CrashInvestigatorDependencies;

  constructor(dependencies: CrashInvestigatorDependencies) {
    this.#dependencies = dependencies;
  }

  isQuarantined(fingerprint: string): boolean {
    return this.#dependencies.reports.isQuarantined(fingerprint);
  }

  /** Probes the upstream and resolves with whether it is down. */
  async investigate(upstream: Upstream, loss: ConnectionLoss): Promise<boolean> {
    const { address, port } = this.#dependencies.getEndpoint(upstream);
    const answers = await this.#dependencies.probe(address, port, PROBE_TIMEOUT_MS);
    if (answers) return false;
    this.#dependencies.reachability.recordUnreachable(upstream.id, address, port);
    if (loss.fingerprint !== undefined) {
      this.#dependencies.reports.add([
        { id: loss.id, fingerprint: loss.fingerprint, upstreamId: upstream.id },
      ]);
    }
    return true;
  }
}
