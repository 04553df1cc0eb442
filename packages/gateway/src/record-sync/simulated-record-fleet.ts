/**
 * A simulated fleet of daemons that replicate the records of one store, for tests. Each daemon runs
 * the real classes of this folder with the real membership and roles; datagrams, calls and the store
 * are simulated. Time passes only in `runFor`, which needs the mocked timers of `node:test`.
 */
import {
  createRandom,
  DEFAULT_MEMBERSHIP_SETTINGS,
  FleetRoles,
  Membership,
  Replica,
} from '@baobabline/core';
import type { Member, RandomSource, StoreChanges, StoredRecord } from '@baobabline/core';
import { mock } from 'node:test';
import { setTimeout as wait } from 'node:timers/promises';

import type { DatagramHandler, DatagramTag } from '../datagrams/index.js';
import type { SourceAnswer } from '../dialect/index.js';
import type { HttpCall, HttpResponse } from '../http/index.js';
import { recordsRequestSchema } from '../peers/messages.js';
import { FleetKeyLease } from '../key-lease/index.js';
import { PeerFormats } from './peer-formats.js';
import { ReaderRanks } from './reader-ranks.js';
import { RecordExchange } from './record-exchange.js';

function isEmptyRecord({ upstream, configuration }: StoredRecord): boolean {
  return upstream === undefined && configuration === undefined;
}

const STEP_MS = 10;
const TICK_MS = 200;
const DATAGRAM_DELAY_MS = 2;
const FETCH_DELAY_MS = 40;
const STORE_DELAY_MS = 10;
const STORE_TIMEOUT_GRACE_MS = 500;
const FULL_READ_TIMEOUT_MS = 1500;
const ERA = 1;
const REGISTRATION_INTERVAL_MS = 1500;
export const REVOCATION_MS = 5000;

const SILENT_LOG = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  shouldLogDecision: () => false,
  decision: () => undefined,
};

export type SimulatedFleetSettings = {
  /** Number of daemons of each data centre. */
  readonly sizes: readonly number[];
  readonly seed: number;
  /** Probability that a datagram is lost, from 0 to 1. */
  readonly lossProbability: number;
};

export type SimulatedDaemon = {
  readonly member: Member;
  readonly membership: Membership;
  readonly roles: FleetRoles;
  readonly replica: Replica;
  readonly exchange: RecordExchange;
  readonly keyLease: FleetKeyLease;
  readonly handlers: Map<DatagramTag, DatagramHandler>;
  readonly tickPhaseMs: number;
  /** Whether it has lost power or its process is frozen: nothing reaches it, and it sends nothing. */
  isDark: boolean;
  isCutFromStore: boolean;
  /** Whether it is of a version that states no record format and knows no client accounts. */
  isEarlierVersion: boolean;
};

type Watch = { readonly finish: () => void; readonly cut: () => void };

export class SimulatedRecordFleet {
  readonly daemons: readonly SimulatedDaemon[];

  /** Daemons that have called the store since the set was cleared. */
  readonly callers = new Set<string>();

  isStoreSilent = false;

  #now = 0;

  #revision = 1;

  #records: readonly StoredRecord[] = [];

  #watches: readonly Watch[] = [];

  /** Revision before which the store has no history. */
  #historyStart = 0;

  readonly #random: RandomSource;

  readonly #settings: SimulatedFleetSettings;

  readonly #byAddress: ReadonlyMap<string, SimulatedDaemon>;

  constructor(settings: SimulatedFleetSettings) {
    this.#settings = settings;
    this.#random = createRandom(settings.seed);
    const members = settings.sizes.flatMap((size, place) =>
      Array.from({ length: size }, (_, index) => this.#createMember(place, index)),
    );
    this.daemons = members.map((member) => this.#createDaemon(member, members));
    this.#byAddress = new Map(this.daemons.map((one) => [one.member.address, one]));
  }

  get now(): number {
    return this.#now;
  }

  start(): void {
    this.daemons.forEach(({ exchange }) => exchange.start());
  }

  stop(): void {
    this.daemons.forEach(({ exchange, keyLease }) => {
      exchange.stop();
      keyLease.stop();
    });
  }

  /** The daemons of a data centre in order of rank, as a daemon that knows all of them sees them. */
  listRanked(dataCentre: string): readonly SimulatedDaemon[] {
    const ranked = this.daemons[0]?.roles.listRankedDaemons(dataCentre) ?? [];
    return ranked.flatMap(({ address }) => this.#byAddress.get(address) ?? []);
  }

  /** Writes a record, which the store confirms at once; returns its revision. */
  publish(record: Omit<StoredRecord, 'revision'>): number {
    this.#revision += 1;
    const others = this.#records.filter(({ key }) => key !== record.key);
    this.#records = [...others, { ...record, revision: this.#revision }];
    this.#watches.forEach(({ finish }) => finish());
    return this.#revision;
  }

  /** Ends the watches that wait without an answer, as the store may at any time. */
  abortWatches(): void {
    const waiting = this.#watches;
    this.#watches = [];
    waiting.forEach(({ cut }) => cut());
  }

  /** Drops the store's history up to now, so that watches from an earlier revision get none. */
  dropHistory(): void {
    this.#historyStart = this.#revision;
  }

  /** Lets time pass; calls back after each step until it returns true. */
  async runFor(ms: number, isDone: () => boolean = () => false): Promise<void> {
    if (ms <= 0 || isDone()) return;
    this.#now += STEP_MS;
    mock.timers.tick(STEP_MS);
    this.daemons
      .filter(({ tickPhaseMs, isDark }) => !isDark && (this.#now - tickPhaseMs) % TICK_MS === 0)
      .forEach(({ exchange, keyLease }) => {
        exchange.runTick();
        keyLease.runTick();
      });
    await this.#waitForEvents();
    await this.runFor(ms - STEP_MS, isDone);
  }

  /** A continuation of a call may start the next one, which the same moment has to serve. */
  async #waitForEvents(): Promise<void> {
    const turn = async (): Promise<void> =>
      new Promise((resolve) => {
        setImmediate(resolve);
      });
    await turn();
    await turn();
  }

  #createMember(place: number, index: number): Member {
    return {
      id: `vm-${place}-${index}`,
      dataCentre: `dc-${place}`,
      address: `10.${place}.${Math.floor(index / 250)}.${(index % 250) + 1}`,
      peerPort: 1,
      callerPort: 2,
      incarnation: 1,
      version: 1,
      state: 'serving',
      capacity: 100 + Math.floor(this.#random.next() * 50),
      load: 0,
    };
  }

  #createDaemon(member: Member, members: readonly Member[]): SimulatedDaemon {
    const clock = { now: () => this.#now };
    const random = createRandom(Math.floor(this.#random.next() * 2 ** 31));
    const membership = new Membership(member, DEFAULT_MEMBERSHIP_SETTINGS, { clock, random });
    membership.applyUpdates(members.filter(({ id }) => id !== member.id));
    const roles = new FleetRoles(member, 1, {
      clock,
      getRevision: () => membership.revision,
      listCandidates: () =>
        membership.members.list().filter(({ id }) => !membership.brokenLinks.has(id)),
    });
    const replica = new Replica();
    const handlers = new Map<DatagramTag, DatagramHandler>();
    const find = (): SimulatedDaemon => this.#find(member.address);
    const socket = {
      setHandler: (tag: DatagramTag, handler: DatagramHandler) => handlers.set(tag, handler),
      send: (tag: DatagramTag, body: Buffer, address: string) =>
        this.#sendDatagram(find(), tag, body, address),
    };
    const formats = new PeerFormats();
    const ranks = new ReaderRanks({
      selfId: member.id,
      dataCentre: member.dataCentre,
      readerCount: 1,
      fleet: { roles, membership },
      formats,
    });
    const keyLease = new FleetKeyLease({
      clock,
      getWallTime: () => this.#now,
      random: createRandom(this.#settings.seed),
      log: SILENT_LOG,
      selfId: member.id,
      readerCount: 1,
      isStrict: true,
      revocationMs: REVOCATION_MS,
      replica,
      ranks,
      isSource: (address) => find().exchange.isSource(address),
      fleet: { isDispatcher: false, membership },
      socket,
      onStranger: () => undefined,
      onCutOffChange: () => undefined,
    });
    const exchange = new RecordExchange({
      clock,
      random,
      log: SILENT_LOG,
      selfId: member.id,
      dataCentre: member.dataCentre,
      readerCount: 1,
      replica,
      source: {
        readAll: async () => this.#readAll(find()),
        watch: async (after, waitMs) => this.#watch(find(), after, waitMs),
        close: () => undefined,
      },
      registrationIntervalMs: REGISTRATION_INTERVAL_MS,
      confirmations: keyLease.confirmations,
      formats,
      ranks,
      fleet: {
        membership,
        isNear: (address) => this.#find(address).member.dataCentre === member.dataCentre,
        recordHeard: (id) => membership.recordDirectContact(id),
        recordLost: (id) => membership.recordBrokenLink(id),
      },
      socket,
      calls: { send: async (call) => this.#fetch(find(), call) },
      onChanged: () => keyLease.runTick(),
    });
    return {
      member,
      membership,
      roles,
      replica,
      exchange,
      keyLease,
      handlers,
      tickPhaseMs: Math.floor((this.#random.next() * TICK_MS) / STEP_MS) * STEP_MS,
      isDark: false,
      isCutFromStore: false,
      isEarlierVersion: false,
    };
  }

  #find(address: string): SimulatedDaemon {
    return this.#byAddress.get(address) as SimulatedDaemon;
  }

  #sendDatagram(from: SimulatedDaemon, tag: DatagramTag, body: Buffer, address: string): void {
    if (from.isDark) return;
    if (this.#random.next() < this.#settings.lossProbability) return;
    const to = this.#find(address);
    setTimeout(() => {
      if (!to.isDark) to.handlers.get(tag)?.(body, from.member.address);
    }, DATAGRAM_DELAY_MS);
  }

  async #fetch(from: SimulatedDaemon, { url, body, timeoutMs }: HttpCall): Promise<HttpResponse> {
    const to = this.#find(new URL(url).hostname);
    await wait(FETCH_DELAY_MS);
    if (to.isDark || from.isDark) {
      await wait(timeoutMs - FETCH_DELAY_MS);
      throw new Error('no answer');
    }
    const { known } = recordsRequestSchema.parse(JSON.parse(body ?? ''));
    const { format, ...changes } = to.exchange.listChangesSince(known);
    const isStated = from.isEarlierVersion || !to.isEarlierVersion;
    const text = JSON.stringify(isStated ? { ...changes, format } : changes);
    return { status: 200, headers: {}, text };
  }

  /** Rejects after a timeout if the daemon does not reach the store. */
  async #connectToStore(from: SimulatedDaemon, timeoutMs: number): Promise<void> {
    if (!from.isDark) this.callers.add(from.member.id);
    await wait(STORE_DELAY_MS);
    if (!from.isDark && !from.isCutFromStore && !this.isStoreSilent) return;
    await wait(timeoutMs - STORE_DELAY_MS);
    throw new Error('the store does not answer');
  }

  async #readAll(from: SimulatedDaemon): Promise<SourceAnswer<StoreChanges>> {
    await this.#connectToStore(from, FULL_READ_TIMEOUT_MS);
    const records = this.#listDecoded(from).filter((record) => !isEmptyRecord(record));
    return { era: ERA, changes: { records, revision: this.#revision, isWhole: true } };
  }

  async #watch(
    from: SimulatedDaemon,
    after: number,
    waitMs: number,
  ): Promise<SourceAnswer<StoreChanges | undefined>> {
    const timeoutMs = waitMs + STORE_TIMEOUT_GRACE_MS;
    await this.#connectToStore(from, timeoutMs);
    if (after < this.#historyStart) return { era: ERA, changes: undefined };
    if (this.#revision <= after) await this.#waitForChange(waitMs);
    if (from.isDark || from.isCutFromStore || this.isStoreSilent) {
      await wait(timeoutMs);
      throw new Error('the store does not answer');
    }
    const records = this.#listDecoded(from).filter(({ revision }) => revision > after);
    return { era: ERA, changes: { records, revision: this.#revision, isWhole: false } };
  }

  /** The records of the store as a daemon decodes them. */
  #listDecoded({ isEarlierVersion }: SimulatedDaemon): readonly StoredRecord[] {
    if (!isEarlierVersion) return this.#records;
    return this.#records.map(({ configuration, ...record }) => {
      if (!configuration) return record;
      const { accounts, ...known } = configuration;
      return { ...record, configuration: known };
    });
  }

  async #waitForChange(waitMs: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const watch: Watch = {
        cut: () => reject(new Error('the connection was closed')),
        finish: () => {
          this.#watches = this.#watches.filter((one) => one !== watch);
          resolve();
        },
      };
      this.#watches = [...this.#watches, watch];
      setTimeout(watch.finish, Math.max(1, waitMs));
    });
  }
}
