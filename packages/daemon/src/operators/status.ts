/**
 * What a daemon believes, as one JSON document for operators.
 */
import type { Ejection, Member, UpstreamScore } from '@baobabline/core';

import type { FleetView } from '../fleet/index.js';
import type { ServiceState } from '../services/index.js';

export type Phase = 'joining' | 'serving' | 'paused' | 'leaving' | 'stopped';

export type StatusSource = {
  readonly phase: Phase;
  readonly view: FleetView;
  readonly inFlight: number;
  readonly keyCount: number;
  readonly listServices: () => readonly ServiceState[];
  readonly listUnreachable: () => readonly string[];
};

type ServiceStatus = {
  readonly service: string;
  readonly owners: readonly string[];
  readonly ownSlots: number;
  readonly busySlots: number;
  readonly waiting: number;
  readonly connections: number;
  readonly floorSlots: number;
  readonly ejected: readonly string[];
  readonly keptByFloor: readonly string[];
  readonly ejections: readonly Ejection[];
  readonly suspicions: readonly UpstreamScore[];
};

export type Status = {
  readonly phase: Phase;
  readonly self: Member;
  readonly members: readonly Member[];
  /** Members that others can reach and this daemon cannot. */
  readonly brokenLinks: readonly string[];
  /** True where listed entry VMs are missing from the view, as in a partition. */
  readonly seesWholeFleet: boolean;
  readonly documents: readonly { readonly id: string; readonly version: number }[];
  readonly inFlight: number;
  readonly idempotencyKeys: number;
  readonly unreachableUpstreams: readonly string[];
  readonly services: readonly ServiceStatus[];
};

function buildServiceStatus(service: ServiceState, view: FleetView): ServiceStatus {
  const row = view.services.get(service.name);
  return {
    service: service.name,
    owners: row?.owners.map(({ id }) => id) ?? [],
    ownSlots: service.pool.slotCount,
    busySlots: service.pool.busyCount,
    waiting: service.pool.waitingCount,
    connections: service.countConnections(),
    floorSlots: service.policy.floorSlots,
    ejected: service.ejections.listEjected(),
    keptByFloor: service.ejections.listKeptByFloor(),
    ejections: service.ejections.rows.list(),
    suspicions: service.scores.filter(({ score }) => score > 0),
  };
}

/** Builds the status document. */
export function buildStatus(source: StatusSource): Status {
  const { view } = source;
  const { membership, documents } = view;
  const present = new Set(membership.listPresent().map(({ id }) => id));
  const listed = documents.vmList?.entryVms ?? [];
  return {
    phase: source.phase,
    self: membership.self,
    members: membership.members.list(),
    brokenLinks: membership.brokenLinks.list().map(({ id }) => id),
    seesWholeFleet: listed.every(({ id, state }) => state === 'leaving' || present.has(id)),
    documents: documents.listVersions(),
    inFlight: source.inFlight,
    idempotencyKeys: source.keyCount,
    unreachableUpstreams: source.listUnreachable(),
    services: source.listServices().map((service) => buildServiceStatus(service, view)),
  };
}
