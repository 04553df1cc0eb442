/**
 * What the dispatchers of a service tell each other: suspicions, crashes and load. A report goes
 * out at once when there is something to accuse, else at a slow pace, so that its cost does not
 * depend on the number of requests.
 */
import { chooseScoresToReport } from '@baobabline/core';
import type { Clock, CrashReports, Evidence, EvidencePool, Member } from '@baobabline/core';

import type { PeerReport } from '../peers/messages.js';
import type { PeerClient } from '../peers/peer-client.js';
import type { ServiceState } from '../services/index.js';
import type { FleetView } from './fleet-view.js';
import type { PeerLoads } from './peer-loads.js';

export type PeerReportsPorts = {
  readonly clock: Clock;
  readonly view: FleetView;
  readonly client: PeerClient;
  readonly loads: PeerLoads;
  readonly pool: EvidencePool;
  readonly crashReports: CrashReports;
  readonly listServices: () => readonly ServiceState[];
};

const URGENT_INTERVAL_MS = 100;
const BUSY_INTERVAL_MS = 200;
const REGULAR_INTERVAL_MS = 500;
const IDLE_INTERVAL_MS = 3000;
const CRASH_AGE_MS = 1500;

export class PeerReports {
  readonly #ports: PeerReportsPorts;

  #sentAt = Number.NEGATIVE_INFINITY;

  constructor(ports: PeerReportsPorts) {
    this.#ports = ports;
  }

  /** Takes in a peer's report. */
  handleReport(report: PeerReport): void {
    const { pool, crashReports, loads } = this.#ports;
    pool.add(report.evidence);
    crashReports.add(report.crashes);
    loads.record(report.reporterId, report.loads);
  }

  /** Sends a report to every daemon that shares a service with this one, if one is due. */
  runTick(): void {
    const services = this.#ports.listServices();
    const evidence = services.flatMap((service) => this.#listEvidence(service));
    this.#ports.pool.add(evidence);
    const crashes = this.#ports.crashReports.listRecent(CRASH_AGE_MS);
    const isUrgent = evidence.length + crashes.length > 0;
    const interval = isUrgent ? URGENT_INTERVAL_MS : this.#getCalmInterval(services);
    const now = this.#ports.clock.now();
    if (now - this.#sentAt < interval) return;
    this.#sentAt = now;
    this.#listAudience().forEach((peer) => this.#send(peer, services, evidence, [...crashes]));
  }

  #getCalmInterval(services: readonly ServiceState[]): number {
    if (services.some(({ pool }) => pool.busyCount * 2 > pool.slotCount)) return BUSY_INTERVAL_MS;
    return services.some(({ pool }) => pool.busyCount > 0) ? REGULAR_INTERVAL_MS : IDLE_INTERVAL_MS;
  }

  #listEvidence(service: ServiceState): readonly Evidence[] {
    const { pool, view } = this.#ports;
    const { id: reporterId, dataCentre: reporterDataCentre } = view.membership.self;
    const accused = new Set(pool.listFor(service.name).map(({ upstreamId }) => upstreamId));
    return chooseScoresToReport(service.scores, accused).map((score) => ({
      ...score,
      id: `${reporterId}|${score.upstreamId}`,
      service: service.name,
      reporterId,
      reporterDataCentre,
    }));
  }

  /** All daemons that dispatch a service which this daemon dispatches too. */
  #listAudience(): readonly Member[] {
    const { view } = this.#ports;
    const selfId = view.membership.self.id;
    const owners = view.services
      .list()
      .filter((service) => service.ownSlots.length > 0)
      .flatMap((service) => service.owners)
      .filter(({ id }) => id !== selfId);
    return [...new Map(owners.map((owner) => [owner.id, owner])).values()];
  }

  #send(
    peer: Member,
    services: readonly ServiceState[],
    evidence: readonly Evidence[],
    crashes: PeerReport['crashes'],
  ): void {
    const shared = services.filter((service) => this.#isOwner(peer.id, service.name));
    const names = new Set(shared.map(({ name }) => name));
    this.#ports.client
      .connect({ address: peer.address, port: peer.peerPort })
      .report.mutate({
        reporterId: this.#ports.view.membership.self.id,
        evidence: evidence.filter(({ service }) => names.has(service)),
        crashes,
        loads: shared.map(({ name, pool }) => ({
          service: name,
          free: pool.countFree(),
          waiting: pool.waitingCount,
        })),
      })
      .catch(() => undefined);
  }

  #isOwner(daemonId: string, service: string): boolean {
    const owners = this.#ports.view.services.get(service)?.owners ?? [];
    return owners.some(({ id }) => id === daemonId);
  }
}
