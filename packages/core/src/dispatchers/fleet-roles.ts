/**
 * Roles in the fleet as one daemon sees them: the rank of the daemons in each data centre, by which
 * the readers of the store are chosen, the dispatchers, and the bridges that exchange members with
 * other data centres.
 *
 * Load patterns:
 * - Hundreds of daemons look up the roles many times per second while members rarely change. The
 *   roles are computed once per revision of the membership.
 * - The VMs of highest capacity fail at peak load, and their advertised load is lost with them. The
 *   demand is held for some seconds, counted from the loss, so that enough VMs of lower capacity take
 *   over at once.
 * - Demand rises and falls in waves, and callers follow a choice seconds after it. The demand is
 *   foreseen for that time (`DemandTrend`).
 * - Daemons lose their links to the upstreams, one or all of a data centre. They are no dispatchers
 *   as long as any other daemon still reaches them.
 * - All VMs lose power together. No daemon knows the demand, all callers reconnect at once and
 *   every process is cold. After its start a daemon therefore uses several dispatchers until it
 *   can know how many are needed.
 */
import type { Member } from '../membership/index.js';
import type { Clock } from '../runtime/index.js';
import { CUT_OFF_CAPACITY } from './capacity.js';
import { chooseDispatchers, rankDispatchers } from './choose-dispatchers.js';
import { DemandTrend } from './demand-trend.js';

/** Daemons of each data centre that exchange members with other data centres. */
const BRIDGES_PER_DATA_CENTRE = 2;
/** Covers the time until the daemons that take over have advertised their load. */
const DEMAND_HOLD_MS = 5000;

/** Minimum number of dispatchers per data centre while this daemon starts. */
const MIN_DISPATCHERS_AT_START = 3;
/** By then every dispatcher has advertised its load. */
const STARTUP_MS = 5000;

export type FleetRolesPorts = {
  readonly clock: Clock;
  /** Increases with every change of the members or of their reachability. */
  readonly getRevision: () => number;
  /** Members that may get a role: joining or serving, and reachable from this daemon. */
  readonly listCandidates: () => readonly Member[];
};

type Demand = {
  readonly trend: DemandTrend;
  /** Advertised loads by daemon. */
  readonly loads: ReadonlyMap<string, number>;
  /** Demand when daemons that carried load were lost, which counts for a while. */
  readonly floor: { readonly rate: number; readonly until: number };
  /** Requests per second. */
  readonly rate: number;
  readonly expiresAt: number;
};

type DataCentreRoles = {
  readonly ranked: readonly Member[];
  readonly dispatchers: readonly Member[];
  readonly demand: Demand;
};

const NO_FLOOR = { rate: 0, until: Number.NEGATIVE_INFINITY };

function sumLoads(loads: ReadonlyMap<string, number>): number {
  return [...loads.values()].reduce((sum, load) => sum + load, 0);
}

function isServing({ state }: Member): boolean {
  return state === 'serving';
}

export class FleetRoles {
  readonly #ports: FleetRolesPorts;

  readonly #self: { readonly id: string; readonly dataCentre: string };

  readonly #minDispatchers: number;

  readonly #startedAt: number;

  #revision = -1;

  /** When a held demand or the startup time ends, so that fewer dispatchers may suffice. */
  #validUntil = Number.POSITIVE_INFINITY;

  #dataCentres: ReadonlyMap<string, DataCentreRoles> = new Map();

  #bridges: ReadonlySet<string> = new Set();

  #ownRank = -1;

  #dispatchers: readonly Member[] = [];

  #otherDispatchers: readonly Member[] = [];

  constructor(
    self: { readonly id: string; readonly dataCentre: string },
    minDispatchers: number,
    ports: FleetRolesPorts,
  ) {
    this.#self = self;
    this.#minDispatchers = minDispatchers;
    this.#ports = ports;
    this.#startedAt = ports.clock.now();
  }

  /** Rank of this daemon in its data centre, starting at 0; -1 if it is no candidate. */
  get ownRank(): number {
    this.#refresh();
    return this.#ownRank;
  }

  get isBridge(): boolean {
    this.#refresh();
    return this.#bridges.has(this.#self.id);
  }

  /** All candidates of a data centre in order of rank. */
  listRankedDaemons(dataCentre: string): readonly Member[] {
    this.#refresh();
    return this.#dataCentres.get(dataCentre)?.ranked ?? [];
  }

  listDispatchers(dataCentre: string): readonly Member[] {
    this.#refresh();
    return this.#dataCentres.get(dataCentre)?.dispatchers ?? [];
  }

  /** The `count` highest ranked daemons of each data centre, without this daemon. */
  listTopRanked(count: number): readonly Member[] {
    this.#refresh();
    return [...this.#dataCentres.values()]
      .flatMap(({ ranked }) => ranked.slice(0, count))
      .filter(({ id }) => id !== this.#self.id);
  }

  listAllDispatchers(): readonly Member[] {
    this.#refresh();
    return this.#dispatchers;
  }

  /** Dispatchers of all data centres, without this daemon. */
  listOtherDispatchers(): readonly Member[] {
    this.#refresh();
    return this.#otherDispatchers;
  }

  /**
   * Whether this daemon exchanges members with another one: all daemons of a data centre do so with
   * each other, and across data centres only bridges do.
   */
  isExchangePartner({ id, dataCentre, state }: Member): boolean {
    if (dataCentre === this.#self.dataCentre) return true;
    this.#refresh();
    if (!this.#bridges.has(this.#self.id)) return false;
    // After a partition the other side may have chosen bridges that this side believes dead.
    return this.#bridges.has(id) || state === 'dead';
  }

  get #isStarting(): boolean {
    return this.#ports.clock.now() < this.#startedAt + STARTUP_MS;
  }

  #refresh(): void {
    const revision = this.#ports.getRevision();
    if (revision === this.#revision && this.#ports.clock.now() < this.#validUntil) return;
    this.#revision = revision;
    const candidates = this.#ports.listCandidates();
    const dataCentreNames = [...new Set(candidates.map(({ dataCentre }) => dataCentre))];
    const able = candidates.filter(
      (member) => isServing(member) && member.capacity > CUT_OFF_CAPACITY,
    );
    // If no daemon reaches the upstreams, it is these that are gone, and any daemon is as good.
    const eligible = new Set(able.length > 0 ? able : candidates.filter(isServing));
    this.#dataCentres = new Map(
      dataCentreNames.map(
        (name) => [name, this.#buildDataCentreRoles(candidates, eligible, name)] as const,
      ),
    );
    const dataCentres = [...this.#dataCentres.values()];
    const expiryTimes = dataCentres.map(({ demand }) => demand.expiresAt);
    this.#validUntil = Math.min(
      ...expiryTimes,
      this.#isStarting ? this.#startedAt + STARTUP_MS : Infinity,
    );
    this.#bridges = new Set(
      dataCentres
        .flatMap(({ ranked }) => ranked.slice(0, BRIDGES_PER_DATA_CENTRE))
        .map(({ id }) => id),
    );
    const localDaemons = this.#dataCentres.get(this.#self.dataCentre)?.ranked ?? [];
    this.#ownRank = localDaemons.findIndex(({ id }) => id === this.#self.id);
    this.#dispatchers = dataCentres.flatMap(({ dispatchers }) => dispatchers);
    this.#otherDispatchers = this.#dispatchers.filter(({ id }) => id !== this.#self.id);
  }

  #buildDataCentreRoles(
    candidates: readonly Member[],
    eligible: ReadonlySet<Member>,
    name: string,
  ): DataCentreRoles {
    const ranked = rankDispatchers(candidates, name);
    const serving = ranked.filter((member) => eligible.has(member));
    const demand = this.#computeDemand(serving, this.#dataCentres.get(name)?.demand);
    const minCount = this.#isStarting
      ? Math.max(MIN_DISPATCHERS_AT_START, this.#minDispatchers)
      : this.#minDispatchers;
    const dispatchers = chooseDispatchers(serving, name, minCount, demand.rate);
    return { ranked, dispatchers, demand };
  }

  #computeDemand(serving: readonly Member[], previous: Demand | undefined): Demand {
    const now = this.#ports.clock.now();
    const loads = new Map(serving.map(({ id, load }) => [id, load]));
    const sum = sumLoads(loads);
    const lost = [...(previous?.loads ?? [])].filter(([id, load]) => load > 0 && !loads.has(id));
    const knownSum = sumLoads(previous?.loads ?? new Map());
    const known = previous && now < previous.floor.until ? previous.floor : NO_FLOOR;
    // What was lost is missing from the sum until those that take over have advertised their load.
    const floor =
      lost.length > 0
        ? { rate: Math.max(knownSum, known.rate), until: now + DEMAND_HOLD_MS }
        : known;
    const trend = previous?.trend ?? new DemandTrend();
    const rate = trend.record(now, Math.max(sum, floor.rate));
    const isHeld = previous !== undefined && previous.rate > rate && now < previous.expiresAt;
    if (isHeld) return { ...previous, loads, floor };
    const expiresAt = rate === 0 ? Number.POSITIVE_INFINITY : now + DEMAND_HOLD_MS;
    return { trend, loads, floor, rate, expiresAt };
  }
}
