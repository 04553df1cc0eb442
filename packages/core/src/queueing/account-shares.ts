/**
 * Fairness between client accounts while a service is short of capacity.
 *
 * Load pattern: one account sends several times its usual rate for seconds, through many daemons or
 * through one, and fills the slots and queues that all accounts share.
 *
 * The requests that a service serves are divided max-min fairly: an account gets what it asks for or,
 * if that is more, the same multiple of its weight as all others that ask for more than they get. The
 * weight is the rate that the account bought; one without a rate has the mean of the others. Where the
 * accounts' requests over the fleet are known, the capacity of the whole service is divided, and each
 * daemon applies its part of an account's share: an account does not get a share at each daemon that it
 * sends to, nor less if it sends to a single one. Otherwise each daemon divides what it serves itself.
 *
 * The requests of an account that asks for more than its share come after those of all that do not,
 * and are refused first. They get what these leave, which is the sum of the shares. Among them, those
 * come last of which more than the share has been served lately.
 */
import type { Clock } from '../runtime/index.js';

export type ShareAccount = {
  readonly name: string;
  /** The rate that the account bought; undefined if it has none. */
  readonly ratePerSecond?: number | undefined;
};

/** Age at which a request counts for about a third (1/e). */
const TIME_CONSTANT_MS = 2000;
/** Shares are computed again after this time. */
const MAX_AGE_MS = 50;
/** Accounts with fewer requests than this, after decay, are forgotten. */
const MIN_COUNT = 0.01;
/** Requests by which any account may exceed its share, so that single requests decide nothing. */
const MIN_TOLERANCE = 2;
/** Standard deviations by which random arrivals may exceed a share. */
const TOLERANCE_DEVIATIONS = 2;

type Usage = {
  readonly ratePerSecond: number | undefined;
  readonly asked: number;
  readonly served: number;
  readonly at: number;
};

type Demand = {
  readonly name: string;
  readonly weight: number;
  /** Requests over the fleet, as far as known. */
  readonly asked: number;
  /** Requests that this daemon has sent to upstreams. */
  readonly served: number;
  /** This daemon's part of the account's requests. */
  readonly part: number;
};

type Shares = {
  readonly at: number;
  /** Accounts that ask for more than their share, and whether more has been served lately. */
  readonly over: ReadonlyMap<string, boolean>;
  /** Requests per millisecond of all accounts, as far as they are within the shares. */
  readonly withinPerMs: number;
  readonly sharePerMs: ReadonlyMap<string, number>;
};

const NO_SHARES: Shares = {
  at: Number.NEGATIVE_INFINITY,
  over: new Map(),
  withinPerMs: 0,
  sharePerMs: new Map(),
};

/** The mean of known figures; 1 if none is known. */
function computeMean(figures: readonly number[]): number {
  return figures.length === 0 ? 1 : figures.reduce((sum, one) => sum + one, 0) / figures.length;
}

/** Computes the multiple of the weights at which max-min fair shares add up to `total`. */
export function computeFairLevel(
  demands: readonly Pick<Demand, 'weight' | 'asked'>[],
  total: number,
): number {
  const ordered = [...demands].sort(
    (left, right) => left.asked / left.weight - right.asked / right.weight,
  );
  const weights = ordered.reduce((sum, { weight }) => sum + weight, 0);
  const end = ordered.reduce(
    (state, { asked, weight }) => {
      if (state.level !== undefined) return state;
      const level = state.left / state.weights;
      if (asked / weight >= level) return { ...state, level };
      return { left: state.left - asked, weights: state.weights - weight, level: undefined };
    },
    { left: total, weights, level: undefined } as {
      readonly left: number;
      readonly weights: number;
      readonly level: number | undefined;
    },
  );
  return end.level ?? Number.POSITIVE_INFINITY;
}

export type AccountSharesPorts = {
  readonly clock: Clock;
  /** Returns this daemon's part of an account's requests, from 0 to 1; undefined if it is unknown. */
  readonly findOwnPart: (accountName: string) => number | undefined;
  /** Returns the requests per millisecond that all slots of the service can run. */
  readonly getCapacityPerMs: () => number;
};

export class AccountShares {
  readonly #ports: AccountSharesPorts;

  readonly #usage = new Map<string, Usage>();

  #shares = NO_SHARES;

  constructor(ports: AccountSharesPorts) {
    this.#ports = ports;
  }

  recordArrival(account: ShareAccount): void {
    this.#record(account, 1, 0);
  }

  /** Records that a request was sent to an upstream for the first time. */
  recordServed(account: ShareAccount): void {
    this.#record(account, 0, 1);
  }

  /** Ranks an account: 0 within its share, 1 if it asks for more, 2 if more has been served lately. */
  getYieldRank(accountName: string): number {
    const isServedMore = this.#getShares().over.get(accountName);
    if (isServedMore === undefined) return 0;
    return isServedMore ? 2 : 1;
  }

  listOverShare(): readonly string[] {
    return [...this.#getShares().over.keys()];
  }

  /** Requests per millisecond that go before those of an account that is over its share. */
  getArrivalsAheadPerMs(accountName: string): number {
    const { withinPerMs, sharePerMs } = this.#getShares();
    return Math.max(0, withinPerMs - (sharePerMs.get(accountName) ?? 0));
  }

  #record({ name, ratePerSecond }: ShareAccount, asked: number, served: number): void {
    const known = this.#decay(this.#usage.get(name));
    this.#usage.set(name, {
      ratePerSecond,
      asked: (known?.asked ?? 0) + asked,
      served: (known?.served ?? 0) + served,
      at: this.#ports.clock.now(),
    });
  }

  #decay(usage: Usage | undefined): Usage | undefined {
    if (!usage) return undefined;
    const now = this.#ports.clock.now();
    const factor = Math.exp((usage.at - now) / TIME_CONSTANT_MS);
    return { ...usage, asked: usage.asked * factor, served: usage.served * factor, at: now };
  }

  #getShares(): Shares {
    if (this.#ports.clock.now() - this.#shares.at >= MAX_AGE_MS)
      this.#shares = this.#computeShares();
    return this.#shares;
  }

  #computeShares(): Shares {
    const at = this.#ports.clock.now();
    const demands = this.#listDemands();
    const isFleetKnown = demands.some(({ part }) => part < 1);
    const total = isFleetKnown
      ? this.#ports.getCapacityPerMs() * TIME_CONSTANT_MS
      : demands.reduce((sum, { served }) => sum + served, 0);
    const level = computeFairLevel(demands, total);
    const shares = demands.map(({ name, weight, asked, served, part }) => {
      const share = Math.min(asked, weight * level) * part;
      const limit = share + Math.max(MIN_TOLERANCE, TOLERANCE_DEVIATIONS * Math.sqrt(share));
      return { name, share, isOver: asked * part > limit, isServedMore: served > share };
    });
    const over = shares.length > 1 ? shares.filter(({ isOver }) => isOver) : [];
    return {
      at,
      over: new Map(over.map(({ name, isServedMore }) => [name, isServedMore])),
      withinPerMs: shares.reduce((sum, { share }) => sum + share, 0) / TIME_CONSTANT_MS,
      sharePerMs: new Map(shares.map(({ name, share }) => [name, share / TIME_CONSTANT_MS])),
    };
  }

  #listDemands(): readonly Demand[] {
    this.#usage.forEach((usage, name) => {
      const current = this.#decay(usage);
      if (current && current.asked >= MIN_COUNT) this.#usage.set(name, current);
      else this.#usage.delete(name);
    });
    const rows = [...this.#usage].map(([name, usage]) => ({
      ...usage,
      name,
      ownPart: this.#ports.findOwnPart(name),
    }));
    const meanRate = computeMean(rows.flatMap(({ ratePerSecond }) => ratePerSecond ?? []));
    const meanPart = computeMean(rows.flatMap(({ ownPart }) => ownPart ?? []));
    return rows.map(({ name, ratePerSecond = meanRate, asked, served, ownPart = meanPart }) => ({
      name,
      weight: ratePerSecond,
      asked: asked / ownPart,
      served,
      part: ownPart,
    }));
  }
}
