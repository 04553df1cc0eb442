/**
 * What other daemons have reported of the use of one account.
 */
import { computeDecayed } from './decaying-count.js';
import type { DecayingCount } from './decaying-count.js';
import type { DaemonDemand } from './token-share.js';
import type { AccountUsage, FleetUsage, UsageSender } from './types.js';

type PeerUsage = {
  readonly startId: number;
  readonly count: number;
  readonly demand: DecayingCount;
  readonly fleet: FleetUsage | undefined;
  readonly heardAt: number;
  /** When it last reported a request that was not in its report before. */
  readonly usedAt: number;
};

/** Time constant of the demand: it follows an account that moves to another daemon. */
export const DEMAND_MS = 1000;
/** A request adds one to the demand; less than that is rounding. */
const NEW_REQUEST_DEMAND = 0.5;
/** What a dispatcher reported of the fleet counts for this long. */
const FLEET_USAGE_MS = 2500;
/** A daemon counts as active for so long after a request. */
const ACTIVE_MS = 20_000;
/** It counts itself as active for less, so that no two daemons take the same rank. */
export const OWN_ACTIVE_MS = 19_000;

export class PeerUsages {
  readonly #peers = new Map<string, PeerUsage>();

  /** Applies a report; returns the requests that the daemon admitted since its last one. */
  apply(
    { id, startId, startedAt }: UsageSender,
    usage: AccountUsage,
    since: { readonly listeningAt: number; readonly isLearning: boolean },
    now: number,
  ): number {
    const { count, demand, fleet } = usage;
    const known = this.#peers.get(id);
    const faded = known ? computeDecayed(known.demand, now, DEMAND_MS) : 0;
    this.#peers.set(id, {
      startId,
      count,
      demand: { value: demand, at: now },
      fleet,
      heardAt: now,
      usedAt:
        demand > faded + NEW_REQUEST_DEMAND ? now : (known?.usedAt ?? Number.NEGATIVE_INFINITY),
    });
    if (known?.startId === startId) return count - known.count;
    if (known || startedAt > since.listeningAt) return count;
    // Its earlier requests are in the tokens that were adopted; the latest may not be.
    return since.isLearning ? 0 : Math.min(count, Math.round(demand));
  }

  listDemands(now: number): readonly DaemonDemand[] {
    return [...this.#peers].map(([id, { demand, usedAt }]) => ({
      id,
      isActive: usedAt > now - ACTIVE_MS,
      demand: computeDecayed(demand, now, DEMAND_MS),
    }));
  }

  /** Sums up the demand of the fleet, a daemon's own included. */
  sumDemand(own: DecayingCount, now: number): { readonly demand: number; readonly active: number } {
    const others = this.listDemands(now);
    const ownDemand = computeDecayed(own, now, DEMAND_MS);
    return {
      demand: others.reduce((sum, { demand }) => sum + demand, ownDemand),
      active: others.filter(({ isActive }) => isActive).length + Number(now < own.at + ACTIVE_MS),
    };
  }

  /**
   * What the dispatchers have reported of the fleet: of each figure the one with which fewest
   * requests are admitted, as some of them may have missed reports.
   */
  findFleetUsage(refillPerMs: number, now: number): FleetUsage | undefined {
    const usages = [...this.#peers.values()].flatMap(({ fleet, heardAt }) =>
      fleet && heardAt > now - FLEET_USAGE_MS
        ? [{ ...fleet, tokens: fleet.tokens + refillPerMs * (now - heardAt), heardAt }]
        : [],
    );
    if (usages.length === 0) return undefined;
    const computeDemand = ({ demand, heardAt }: (typeof usages)[number]): number =>
      computeDecayed({ value: demand, at: heardAt }, now, DEMAND_MS);
    return {
      tokens: Math.min(...usages.map(({ tokens }) => tokens)),
      demand: Math.max(...usages.map(computeDemand)),
      activeDaemons: Math.max(...usages.map(({ activeDaemons }) => activeDaemons)),
      ratePerSecond: Math.max(...usages.map(({ ratePerSecond }) => ratePerSecond)),
    };
  }

  keep(ids: ReadonlySet<string>): void {
    [...this.#peers.keys()].filter((id) => !ids.has(id)).forEach((id) => this.#peers.delete(id));
  }

  clear(): void {
    this.#peers.clear();
  }
}
