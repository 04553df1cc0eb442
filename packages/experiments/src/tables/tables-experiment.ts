/**
 * What the tables of one daemon cost at the two-year size, in this process: reading and checking
 * the publications, deriving the placement of all services, and the memory that they hold.
 */
import {
  createRandom,
  DEFAULT_MEMBERSHIP_SETTINGS,
  DocumentStore,
  IdempotencyKeyStore,
  Membership,
} from '@baobabline/core';
import type { Customer, Member, Plan, Upstream } from '@baobabline/core';
import { FleetView } from '@baobabline/daemon';
import { gzipSync } from 'node:zlib';

export type TablesOptions = {
  readonly daemons: number;
  readonly services: number;
  readonly upstreams: number;
  readonly customers: number;
  readonly keys: number;
};

export type TablesFigures = TablesOptions & {
  readonly listsBytes: number;
  readonly listsCompressedBytes: number;
  readonly vmListBytes: number;
  readonly vmListCompressedBytes: number;
  readonly checkListsMs: number;
  readonly checkVmListMs: number;
  /** Deriving the placement of all services after a change of membership. */
  readonly placementMs: number;
  readonly ownServices: number;
  readonly ownSlots: number;
  readonly documentsMb: number;
  readonly bytesPerKey: number;
};

const DATA_CENTRES = 6;
const SLOTS = 3;
const PLANS = 14;
const BYTES_PER_MB = 1024 * 1024;

function createMember(index: number): Member {
  return {
    id: `entry-${index}`,
    address: '127.0.0.1',
    peerPort: 1024 + index,
    callerPort: 2048 + index,
    dataCentre: `dc-${index % DATA_CENTRES}`,
    incarnation: 1,
    version: 1,
    state: 'serving',
    capacity: 1,
    load: 0,
  };
}

function createUpstreams({ upstreams, services }: TablesOptions): readonly Upstream[] {
  return Array.from({ length: upstreams }, (_, index) => ({
    id: `service-${index % services}-${Math.floor(index / services)}`,
    address: '127.0.0.1',
    port: 1024 + (index % 60_000),
    dataCentre: `dc-${index % DATA_CENTRES}`,
    service: `service-${index % services}`,
    slots: SLOTS,
    connections: 330,
    state: 'live',
  }));
}

/** Plans that together name every service once, so that kinds make about the routes wanted. */
function createPlans({ services }: TablesOptions): readonly Plan[] {
  return Array.from({ length: PLANS }, (_, plan) => ({
    id: `plan-${plan}`,
    ratePerSecond: 100,
    burst: 200,
    share: 1,
    services: Array.from({ length: services }, (__, service) => ({
      name: `service-${service}`,
      kinds: [{ name: 'read', weight: 1 }],
      floorSlots: 30,
      detectionWeight: 1,
      falseEjectionWeight: 1,
      maxBodyBytes: 1_000_000,
    })),
  }));
}

function createCustomers({ customers }: TablesOptions): readonly Customer[] {
  return Array.from({ length: customers }, (_, index) => ({
    id: `customer-${index}`,
    plan: `plan-${index % PLANS}`,
  }));
}

function measureMs(run: () => void): number {
  const startedAt = performance.now();
  run();
  return Number((performance.now() - startedAt).toFixed(1));
}

function readHeapBytes(): number {
  global.gc?.();
  return process.memoryUsage().heapUsed;
}

function measureKeyBytes(count: number): number {
  const ledger = new IdempotencyKeyStore<string>(
    { daemonId: 'entry-0', incarnation: 1 },
    { maxKeys: count, maxTotalAnswerBytes: BYTES_PER_MB },
  );
  const before = readHeapBytes();
  Array.from({ length: count }).forEach((_, index) => {
    ledger.begin(`bk1~entry-0~1~99999999~nonce-${index + 100_000}`, `fingerprint-${index}`, 0);
  });
  const bytes = (readHeapBytes() - before) / Math.max(1, ledger.size);
  return Math.round(bytes);
}

/** Measures the tables. Memory is exact only where the process was started with --expose-gc. */
export function measureTables(options: TablesOptions): TablesFigures {
  const lists = { version: 1, customers: createCustomers(options), plans: createPlans(options) };
  const vmList = { version: 1, upstreams: createUpstreams(options), entryVms: [] };
  const listsText = JSON.stringify(lists);
  const vmListText = JSON.stringify(vmList);
  const heapBefore = readHeapBytes();
  const documents = new DocumentStore();
  const checkListsMs = measureMs(() => documents.offer('lists', listsText));
  const checkVmListMs = measureMs(() => documents.offer('vm-list', vmListText));
  const documentsMb = (readHeapBytes() - heapBefore) / BYTES_PER_MB;
  const membership = new Membership(createMember(0), DEFAULT_MEMBERSHIP_SETTINGS, {
    clock: { now: () => 0 },
    random: createRandom(1),
  });
  const members = Array.from({ length: options.daemons }, (_, index) => createMember(index));
  membership.applyUpdates(members.slice(1));
  const view = new FleetView(membership, documents, 'owned-slots');
  view.refresh();
  membership.applyUpdates([{ ...createMember(options.daemons - 1), version: 2, state: 'dead' }]);
  const placementMs = measureMs(() => view.refresh());
  const own = view.services.list().filter(({ ownSlots }) => ownSlots.length > 0);
  return {
    ...options,
    listsBytes: listsText.length,
    listsCompressedBytes: gzipSync(listsText).length,
    vmListBytes: vmListText.length,
    vmListCompressedBytes: gzipSync(vmListText).length,
    checkListsMs,
    checkVmListMs,
    placementMs,
    ownServices: own.length,
    ownSlots: own.reduce((sum, { ownSlots }) => sum + ownSlots.length, 0),
    documentsMb: Number(documentsMb.toFixed(1)),
    bytesPerKey: measureKeyBytes(options.keys),
  };
}
