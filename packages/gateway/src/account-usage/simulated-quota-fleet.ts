/**
 * A fleet in simulated time that keeps quotas of client accounts, for tests: each daemon has its own
 * view of the fleet, and datagrams between them take a few milliseconds and may be lost. In each data
 * centre the daemons that have run the longest are the dispatchers. A daemon that is not heard for a
 * while is taken for dead. Runs repeat for the same seed.
 */
import { createRandom, hashText, RateLimitShares } from '@baobabline/core';
import type { ClientAccount, RandomSource } from '@baobabline/core';

import { AccountQuotas } from './account-quotas.js';
import type { QuotaPermit } from './account-quotas.js';

const DATA_CENTRES = 3;
const TICK_MS = 200;
const DETECTION_MS = 2000;
const SETTLED_MS = 3000;
const MIN_LATENCY_MS = 1;
const LATENCY_SPREAD_MS = 4;
const WALL_TIME_MS = 1_700_000_000_000;
export const QUOTA_BOUNDS = { windowMs: 5000, overshoot: 0.25, slack: 20 };

export type SimulatedQuotaFleetOptions = {
  readonly seed: number;
  readonly size: number;
  readonly dispatchersPerDataCentre: number;
  readonly accounts: readonly ClientAccount[];
  /** Part of the datagrams that is lost. */
  readonly loss?: number;
  /** Daemons of the version before, which send no usage and take none. */
  readonly isLegacy?: (index: number) => boolean;
};

/** A request that was admitted, in milliseconds of simulated time. */
export type Admission = { readonly at: number; readonly account: string };

type SimulatedView = {
  present: readonly number[];
  dispatchers: readonly { readonly id: string; readonly address: string }[];
  revision: number;
};

type SimulatedDaemon = {
  readonly index: number;
  readonly startedAt: number;
  readonly quotas: AccountQuotas;
  readonly shares: RateLimitShares;
  readonly heardAt: Map<number, number>;
  readonly view: SimulatedView;
};

function getId(index: number): string {
  return `d-${index}`;
}

function getAddress(index: number): string {
  return `10.0.${Math.floor(index / 256)}.${index % 256}`;
}

function findIndex(address: string): number {
  const [, , high, low] = address.split('.').map(Number);
  return (high ?? 0) * 256 + (low ?? 0);
}

export class SimulatedQuotaFleet {
  readonly admissions: Admission[] = [];

  readonly #options: SimulatedQuotaFleetOptions;

  readonly #random: RandomSource;

  readonly #events = new Map<number, (() => void)[]>();

  readonly #daemons = new Map<number, SimulatedDaemon>();

  /** What frozen daemons are to do when they go on. */
  readonly #frozen = new Map<number, (() => void)[]>();

  #received = new Map<number, number>();

  #isCut: (from: number, to: number) => boolean = () => false;

  #accounts: readonly ClientAccount[];

  #now = 0;

  #changedAt = 0;

  constructor(options: SimulatedQuotaFleetOptions) {
    this.#options = options;
    this.#accounts = options.accounts;
    this.#random = createRandom(options.seed);
    this.startDaemons(Array.from({ length: options.size }, (_, index) => index));
  }

  get now(): number {
    return this.#now;
  }

  /** The most datagrams that one daemon received since the last call. */
  takeMostReceived(): number {
    const most = Math.max(0, ...this.#received.values());
    this.#received = new Map();
    return most;
  }

  /** Starts daemons without anything that they knew. */
  startDaemons(indexes: readonly number[]): void {
    this.#recordChange();
    indexes.forEach((index) => this.killDaemon(index));
    indexes.forEach((index) => this.#daemons.set(index, this.#createDaemon(index)));
    this.#refreshViews();
    indexes.forEach((index) => this.#daemons.get(index)?.quotas.setAccounts(this.#accounts));
  }

  killDaemon(index: number): void {
    this.#recordChange();
    this.#daemons.get(index)?.quotas.stop();
    this.#daemons.delete(index);
    this.#frozen.delete(index);
  }

  freezeDaemon(index: number): void {
    this.#recordChange();
    this.#frozen.set(index, []);
  }

  thawDaemon(index: number): void {
    this.#recordChange();
    const missed = this.#frozen.get(index) ?? [];
    this.#frozen.delete(index);
    missed.forEach((run) => run());
  }

  /** Cuts directions between daemons. */
  silence(isCut: (from: number, to: number) => boolean): void {
    this.#recordChange();
    this.#isCut = isCut;
  }

  /** Puts other accounts in force, at each daemon with another delay. */
  setAccounts(accounts: readonly ClientAccount[], spreadMs: number): void {
    this.#accounts = accounts;
    this.#daemons.forEach(({ quotas }) =>
      this.#schedule(() => quotas.setAccounts(accounts), this.#random.next() * spreadMs),
    );
  }

  /** Lets a request arrive at a daemon; undefined if the daemon does not run or keeps no quotas. */
  sendRequest(index: number, account: ClientAccount): QuotaPermit | undefined {
    const daemon = this.#daemons.get(index);
    if (!daemon || this.#frozen.has(index) || this.#options.isLegacy?.(index)) return undefined;
    const permit = daemon.quotas.admit(account);
    if (permit.kind === 'admitted') this.admissions.push({ at: this.#now, account: account.name });
    return permit;
  }

  /** Hands a datagram to a daemon; returns whether it was valid. */
  acceptBody(index: number, body: Buffer): boolean | undefined {
    return this.#daemons.get(index)?.quotas.accept(body, getAddress(0));
  }

  getFleetRate(index: number, account: string): number {
    return this.#daemons.get(index)?.quotas.getFleetRate(account) ?? 0;
  }

  listDispatchers(): readonly number[] {
    const daemon = [...this.#daemons.values()][0];
    return daemon?.view.dispatchers.map(({ address }) => findIndex(address)) ?? [];
  }

  /** Advances the simulated time; calls back in each millisecond. */
  advance(forMs: number, onStep: () => void): void {
    Array.from({ length: forMs }).forEach(() => {
      this.#now += 1;
      const isSettled = this.#now > this.#changedAt + SETTLED_MS;
      if (this.#now % TICK_MS === 0 && !isSettled) this.#refreshViews();
      const events = this.#events.get(this.#now) ?? [];
      this.#events.delete(this.#now);
      events.forEach((run) => run());
      if (this.#now % TICK_MS === 0) this.#runTicks();
      onStep();
    });
  }

  #schedule(run: () => void, delayMs: number): () => void {
    const at = this.#now + Math.max(1, Math.ceil(delayMs));
    let isCancelled = false;
    const events = this.#events.get(at) ?? [];
    this.#events.set(at, [...events, () => !isCancelled && run()]);
    return () => {
      isCancelled = true;
    };
  }

  #createDaemon(index: number): SimulatedDaemon {
    const clock = { now: () => this.#now };
    const getDaemon = (): SimulatedDaemon | undefined => this.#daemons.get(index);
    const shares = new RateLimitShares(getId(index), {
      clock,
      getWallTime: () => WALL_TIME_MS + this.#now,
      hash: hashText,
      getRevision: () => getDaemon()?.view.revision ?? 0,
      listMembers: () => {
        const present = new Set(getDaemon()?.view.present);
        return [...(getDaemon()?.heardAt.keys() ?? [])].map((one) => ({
          id: getId(one),
          dataCentre: `z${one % DATA_CENTRES}`,
          isPresent: present.has(one),
          hasLeft: false,
        }));
      },
      listUnknownSeeds: () =>
        [0, 1, 2].filter((one) => !getDaemon()?.heardAt.has(one)).map((one) => getId(one)),
      listDispatchers: () => getDaemon()?.view.dispatchers ?? [],
      isLeaving: () => false,
    });
    const startedAt = this.#now;
    const quotas = new AccountQuotas({
      clock,
      getWallTime: () => WALL_TIME_MS + this.#now,
      schedule: (run, delayMs) => {
        const guarded = (): void => {
          if (this.#daemons.get(index)?.startedAt !== startedAt) return;
          const waiting = this.#frozen.get(index);
          if (waiting) waiting.push(guarded);
          else run();
        };
        return this.#schedule(guarded, delayMs);
      },
      log: { info: () => undefined },
      selfId: getId(index),
      selfAddress: getAddress(index),
      startId: WALL_TIME_MS + startedAt,
      bounds: QUOTA_BOUNDS,
      listDispatcherIds: () => getDaemon()?.view.dispatchers.map(({ id }) => id) ?? [],
      isRecipient: () =>
        getDaemon()?.view.dispatchers.some(({ id }) => id === getId(index)) ?? false,
      listRecipients: () => getDaemon()?.view.dispatchers ?? [],
      getVisiblePart: () => shares.getLatestVisiblePart(),
      send: (body, addresses) =>
        addresses.forEach((address) => this.#send(index, findIndex(address), body)),
    });
    const heardAt = new Map([[index, this.#now]]);
    const view = { present: [], dispatchers: [], revision: 0 };
    return { index, startedAt, quotas, shares, heardAt, view };
  }

  #send(from: number, to: number, body: Buffer): void {
    const { loss = 0, isLegacy } = this.#options;
    if (isLegacy?.(from) || isLegacy?.(to)) return;
    if (this.#isCut(from, to) || this.#random.next() < loss) return;
    const latencyMs = MIN_LATENCY_MS + this.#random.next() * LATENCY_SPREAD_MS;
    const deliver = (): void => {
      const waiting = this.#frozen.get(to);
      if (waiting) {
        waiting.push(deliver);
        return;
      }
      this.#received.set(to, (this.#received.get(to) ?? 0) + 1);
      this.#daemons.get(to)?.quotas.accept(body, getAddress(from));
    };
    this.#schedule(deliver, latencyMs);
  }

  /** The views are up to date when something changes; while nothing does, they are left alone. */
  #recordChange(): void {
    if (this.#now > this.#changedAt + SETTLED_MS) this.#refreshViews();
    this.#changedAt = this.#now;
  }

  #refreshViews(): void {
    const running = [...this.#daemons.values()].filter(({ index }) => !this.#frozen.has(index));
    const order = [...running].sort(
      (left, right) => left.startedAt - right.startedAt || left.index - right.index,
    );
    const startOrder = new Map(order.map(({ index }, rank) => [index, rank]));
    running.forEach((daemon) => {
      running.forEach(({ index }) => {
        if (!this.#isCut(index, daemon.index)) daemon.heardAt.set(index, this.#now);
      });
      const present = [...daemon.heardAt]
        .filter(([, at]) => this.#now - at < DETECTION_MS)
        .map(([index]) => index)
        .sort((left, right) => (startOrder.get(left) ?? -1) - (startOrder.get(right) ?? -1));
      if (present.join() !== daemon.view.present.join()) this.#setPresent(daemon.view, present);
    });
  }

  #setPresent(view: SimulatedView, present: readonly number[]): void {
    Object.assign(view, {
      present,
      revision: view.revision + 1,
      dispatchers: [0, 1, 2].flatMap((dataCentre) =>
        present
          .filter((index) => index % DATA_CENTRES === dataCentre)
          .slice(0, this.#options.dispatchersPerDataCentre)
          .map((index) => ({ id: getId(index), address: getAddress(index) })),
      ),
    });
  }

  #runTicks(): void {
    this.#daemons.forEach(({ index, quotas, shares }) => {
      if (this.#frozen.has(index) || this.#options.isLegacy?.(index)) return;
      shares.refresh();
      quotas.runTick();
    });
  }
}
