/**
 * What other daemons have reported of the use of one account.
 */
import { computeDecayed } from './decaying-count.js';
import type { DecayingCount } from './decaying-count.js';
import { MIN_DEMAND } from './token-share.js';
import type { DaemonDemand } from './token-share.js';
import type { AccountUsage, FleetUsage, UsageSender } from './types.js';

type PeerUsage = {
  readonly startId: number;
  readonly count: number;
  readonly demand: DecayingCount;
  readonly fleet: FleetUsage | undefined;
  readonly heardAt: number;
};

/** Time constant of the demand: it follows an account that moves to another daemon. */
export const DEMAND_MS = 1000;
/** What a dispatcher reported of the fleet counts for this long. */
const FLEET_USAGE_MS = 2500;

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
    const decaying = { value: demand, at: now };
    this.#peers.set(id, { startId, count, demand: decaying, fleet, heardAt: now });
    if (known?.startId === startId) return count - known.count;
    if (known || startedAt > since.listeningAt) return count;
    // Its earlier requests are in the tokens that were adopted; the latest may not be.
    return since.isLearning ? 0 : Math.min(count, Math.round(demand));
  }

  listDemands(now: number): readonly DaemonDemand[] {
    return [...this.#peers].map(([id, { demand }]) => ({
      id,
      demand: computeDecayed(demand, now, DEMAND_MS),
    }));
  }

  /** Sums up the demand of the fleet, a daemon's own included. */
  sumDemand(own: DecayingCount, now: number): { readonly demand: number; readonly active: number } {
    const demands = [
      computeDecayed(own, now, DEMAND_MS),
      ...this.listDemands(now).map(({ demand }) => demand),
    ];
    return {
      demand: demands.reduce((sum, demand) => sum + demand, 0),
      active: demands.filter((demand) => demand >= MIN_DEMAND).length,
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
