/**
 * Who does what in the fleet, as one daemon sees it: the readers of the store and the dispatchers of
 * each data centre, and with whom members are gossiped about.
 *
 * Load pattern: hundreds of daemons that each look this up many times a second while the members
 * hardly change: all is worked out once for each state of the membership. And the strongest VMs of a
 * data centre lost at the height of a wave, with what they said of their load: as many weaker ones
 * as the wave needs are called on at once, since the demand is remembered for a while. And all VMs
 * that lose power at once: nobody remembers the demand, callers come back together and each process
 * is still cold, so that a daemon names several dispatchers until it can know how many are needed.
 */
import type { Member } from '../membership/index.js';
import type { Clock } from '../runtime/index.js';
import { chooseDispatchers, rankDispatchers } from './choose-dispatchers.js';

/** Daemons of each data centre that exchange members with those of the others. */
const BRIDGES_PER_DATA_CENTRE = 2;
/** A demand is remembered for so long: until those that take it over have said what they carry. */
const DEMAND_HOLD_MS = 5000;

/** Dispatchers of a data centre, at least, as seen by a daemon that has just started. */
const DISPATCHERS_AT_START = 3;
/** Until then every dispatcher has told what it carries. */
const START_MS = 5000;

export type RosterSource = {
  readonly clock: Clock;
  /** Grows with every change of the members or of who can be reached. */
  readonly getRevision: () => number;
  /** Members that may do work: present, not leaving, and reached by this daemon. */
  readonly listCandidates: () => readonly Member[];
};

type Demand = {
  /** Requests a second. */
  readonly rate: number;
  readonly until: number;
};

type DataCentre = {
  readonly ranked: readonly Member[];
  readonly dispatchers: readonly Member[];
  readonly demand: Demand;
};

function isServing({ state }: Member): boolean {
  return state === 'serving';
}

export class FleetRoster {
  readonly #source: RosterSource;

  readonly #self: { readonly id: string; readonly dataCentre: string };

  readonly #minDispatchers: number;

  readonly #startedAt: number;

  #revision = -1;

  /** When a remembered demand ends, so that fewer dispatchers may do. */
  #validUntil = Number.POSITIVE_INFINITY;

  #dataCentres: ReadonlyMap<string, DataCentre> = new Map();

  #bridges: ReadonlySet<string> = new Set();

  #rank = -1;

  #dispatchers: readonly Member[] = [];

  #otherDispatchers: readonly Member[] = [];

  constructor(
    self: { readonly id: string; readonly dataCentre: string },
    minDispatchers: number,
    source: RosterSource,
  ) {
    this.#self = self;
    this.#minDispatchers = minDispatchers;
    this.#source = source;
    this.#startedAt = source.clock.now();
  }

  /** This daemon's place among those of its data centre, 0 for the first; -1 if it has none. */
  get ownRank(): number {
    this.#refresh();
    return this.#rank;
  }

  get isBridge(): boolean {
    this.#refresh();
    return this.#bridges.has(this.#self.id);
  }

  /** All daemons of a data centre that may do work, in the order in which they are used. */
  listRanked(dataCentre: string): readonly Member[] {
    this.#refresh();
    return this.#dataCentres.get(dataCentre)?.ranked ?? [];
  }

  listDispatchers(dataCentre: string): readonly Member[] {
    this.#refresh();
    return this.#dataCentres.get(dataCentre)?.dispatchers ?? [];
  }

  /** The first daemons of each data centre, this daemon excluded. */
  listFirst(count: number): readonly Member[] {
    this.#refresh();
    return [...this.#dataCentres.values()]
      .flatMap(({ ranked }) => ranked.slice(0, count))
      .filter(({ id }) => id !== this.#self.id);
  }

  listAllDispatchers(): readonly Member[] {
    this.#refresh();
    return this.#dispatchers;
  }

  /** Dispatchers of all data centres but this daemon. */
  listOtherDispatchers(): readonly Member[] {
    this.#refresh();
    return this.#otherDispatchers;
  }

  /** Whether members are exchanged with another: near ones with all, far ones between bridges. */
  isExchangePartner({ id, dataCentre, state }: Member): boolean {
    if (dataCentre === this.#self.dataCentre) return true;
    this.#refresh();
    if (!this.#bridges.has(this.#self.id)) return false;
    // The far side of a healed partition may hold other daemons to be its bridges.
    return this.#bridges.has(id) || state === 'dead';
  }

  get #isStarting(): boolean {
    return this.#source.clock.now() < this.#startedAt + START_MS;
  }

  #refresh(): void {
    const revision = this.#source.getRevision();
    if (revision === this.#revision && this.#source.clock.now() < this.#validUntil) return;
    this.#revision = revision;
    const candidates = this.#source.listCandidates();
    const names = [...new Set(candidates.map(({ dataCentre }) => dataCentre))];
    this.#dataCentres = new Map(
      names.map((name) => [name, this.#buildDataCentre(candidates, name)] as const),
    );
    const all = [...this.#dataCentres.values()];
    const ends = all.map(({ demand }) => demand.until);
    this.#validUntil = Math.min(...ends, this.#isStarting ? this.#startedAt + START_MS : Infinity);
    this.#bridges = new Set(
      all.flatMap(({ ranked }) => ranked.slice(0, BRIDGES_PER_DATA_CENTRE)).map(({ id }) => id),
    );
    const own = this.#dataCentres.get(this.#self.dataCentre)?.ranked ?? [];
    this.#rank = own.findIndex(({ id }) => id === this.#self.id);
    this.#dispatchers = all.flatMap(({ dispatchers }) => dispatchers);
    this.#otherDispatchers = this.#dispatchers.filter(({ id }) => id !== this.#self.id);
  }

  #buildDataCentre(candidates: readonly Member[], name: string): DataCentre {
    const ranked = rankDispatchers(candidates, name);
    const serving = ranked.filter(isServing);
    const demand = this.#computeDemand(serving, this.#dataCentres.get(name)?.demand);
    const minCount = this.#isStarting
      ? Math.max(DISPATCHERS_AT_START, this.#minDispatchers)
      : this.#minDispatchers;
    const dispatchers = chooseDispatchers(serving, name, minCount, demand.rate);
    return { ranked, dispatchers, demand };
  }

  #computeDemand(serving: readonly Member[], known: Demand | undefined): Demand {
    const now = this.#source.clock.now();
    const rate = serving.reduce((sum, { load }) => sum + load, 0);
    const isHeld = known !== undefined && known.rate > rate && now < known.until;
    if (isHeld) return known;
    return { rate, until: rate === 0 ? Number.POSITIVE_INFINITY : now + DEMAND_HOLD_MS };
  }
}
