/**
 * The data centres of one service as they stand: what near slots this dispatcher can count on, and
 * what it may use of each far data centre at what cost. Computed once for each view.
 */
import { FleetLoads } from './fleet-loads.js';
import type { DataCentreLoad } from './fleet-loads.js';
import { SpareCapacity } from './spare-capacity.js';
import type { DataCentreSlots, LoadNews, ServiceView } from './types.js';

/** A far data centre and what this dispatcher may use of it. */
export type FarRow = {
  readonly dataCentre: string;
  readonly ownInFlight: number;
  /** Most requests that this dispatcher may have in flight there. */
  readonly quota: number;
  readonly isOpen: boolean;
  /** This dispatcher's part of all its slots, by the requests in flight. */
  readonly sharedSlots: number;
  /** Cost of a request that goes there, without that of its bytes. */
  readonly cost: number;
  readonly isCold: boolean;
};

export type NearRow = {
  /** This dispatcher's part of the near slots. */
  readonly slots: number;
  readonly isCold: boolean;
};

/** Cost of any request that leaves: the delay, and the money for connections. */
const BASE_COST = 0.04;
/** Cost of the last free slot of a far data centre, which would probably be needed there. */
const FULL_SLOT_COST = 0.3;
/** The cost of a slot rises with this power of the slots in use. */
const SLOT_COST_POWER = 4;
/** Cost of a far data centre whose load is unknown. */
const UNKNOWN_LOAD_COST = 0.2;
/** A request that would be refused may use this many times the quota. */
const REFUSED_QUOTA_FACTOR = 1.5;
/** A data centre counts as cold if more than this share of its slots is. */
const COLD_SHARE = 0.5;

/** Computes a dispatcher's part of slots by its part of the requests in flight. */
function computeShared(slots: number, own: number, { native, foreign }: DataCentreLoad): number {
  return slots * Math.min(1, Math.max(1, own) / Math.max(1, native + foreign));
}

export class DataCentreRows {
  readonly #dataCentre: string;

  readonly #getHorizonMs: (dataCentre: string) => number;

  readonly #loads: FleetLoads;

  readonly #spare = new Map<string, SpareCapacity>();

  #view: ServiceView | undefined;

  #near: NearRow = { slots: 0, isCold: false };

  #far: readonly FarRow[] = [];

  /** Requests that left since the view was made, by data centre. */
  #sentSinceView = new Map<string, number>();

  /** `getHorizonMs` returns how long a request occupies a slot of a far data centre. */
  constructor(dataCentre: string, now: number, getHorizonMs: (dataCentre: string) => number) {
    this.#dataCentre = dataCentre;
    this.#getHorizonMs = getHorizonMs;
    this.#loads = new FleetLoads(dataCentre, now);
  }

  get near(): NearRow {
    return this.#near;
  }

  get far(): readonly FarRow[] {
    return this.#far;
  }

  recordNews(news: LoadNews, now: number): void {
    this.#loads.record(news, now);
  }

  recordSent(dataCentre: string): void {
    this.#sentSinceView.set(dataCentre, (this.#sentSinceView.get(dataCentre) ?? 0) + 1);
  }

  /**
   * Whether one more request may go to an open data centre; rounded, so that small parts are used. One
   * that would be refused may exceed the quota somewhat: others use less than their parts.
   */
  hasQuota({ dataCentre, isOpen, ownInFlight, quota }: FarRow, isRefused: boolean): boolean {
    const limit = isRefused ? quota * REFUSED_QUOTA_FACTOR + 1 : quota;
    const inFlight = ownInFlight + (this.#sentSinceView.get(dataCentre) ?? 0);
    return isOpen && Math.round(limit) > inFlight;
  }

  /** Takes in a view, unless it is known already. */
  refresh(view: ServiceView): void {
    if (this.#view === view) return;
    this.#view = view;
    this.#loads.expire(view.at);
    this.#sentSinceView = new Map();
    const near = view.dataCentres.find(({ dataCentre }) => dataCentre === this.#dataCentre);
    const load = this.#loads.describe(this.#dataCentre, view, view.at);
    this.#near = {
      slots: computeShared(near?.slots ?? 0, near?.ownInFlight ?? 0, load),
      isCold: (near?.coldShare ?? 0) > COLD_SHARE,
    };
    this.#far = view.dataCentres
      .filter(({ dataCentre }) => dataCentre !== this.#dataCentre)
      .map((row) => this.#buildFarRow(row, view));
  }

  #buildFarRow(row: DataCentreSlots, view: ServiceView): FarRow {
    const { dataCentre, slots, ownInFlight, coldShare } = row;
    const load = this.#loads.describe(dataCentre, view, view.at);
    const part = this.#loads.computePart(dataCentre, view);
    const own = { inFlight: ownInFlight, part };
    const spare = this.#getSpare(dataCentre);
    const horizonMs = this.#getHorizonMs(dataCentre) / 2;
    const { quota, isOpen, utilization } = spare.refresh(slots, load, own, horizonMs, view.at);
    const slotCost = FULL_SLOT_COST * utilization ** SLOT_COST_POWER;
    return {
      dataCentre,
      ownInFlight,
      quota,
      isOpen,
      sharedSlots: computeShared(slots, ownInFlight, load),
      isCold: coldShare > COLD_SHARE,
      cost: BASE_COST + slotCost + UNKNOWN_LOAD_COST * (1 - load.confidence),
    };
  }

  #getSpare(dataCentre: string): SpareCapacity {
    const known = this.#spare.get(dataCentre) ?? new SpareCapacity();
    this.#spare.set(dataCentre, known);
    return known;
  }
}
