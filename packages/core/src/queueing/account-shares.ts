/**
 * Fairness between client accounts while a service is short of capacity.
 *
 * Load pattern: one account sends several times its usual rate for seconds, through many daemons or
 * through one, and fills the slots and queues that all accounts share.
 *
 * The requests that a service serves are divided max-min fairly: an account gets what it asks for or,
 * if that is more, the same multiple of its weight as all others that ask for more than they get. The
 * weight is the rate that the account bought; one without a rate has the mean of the others. Since the
 * daemons do not share slots by account, each uses the part of a weight that corresponds to its part
 * of the account's requests: an account does not get a share at each daemon that it sends to.
 *
 * An account is over its share if it asks for more than its share and more than its share has been
 * served lately. Its requests then come after those of all others, and are refused first. As its past
 * requests fade it is served again, so that it gets its share, and all that the others leave.
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
/** Requests by which an account may exceed its share, so that single requests decide nothing. */
const TOLERANCE = 1;

type Usage = {
  readonly ratePerSecond: number | undefined;
  readonly asked: number;
  readonly served: number;
  readonly at: number;
};

type Demand = {
  readonly name: string;
  readonly weight: number;
  readonly asked: number;
  readonly served: number;
};

type Shares = {
  readonly at: number;
  readonly over: ReadonlySet<string>;
  /** Requests per millisecond of all accounts, as far as they are within the shares. */
  readonly withinPerMs: number;
  readonly sharePerMs: ReadonlyMap<string, number>;
};

const NO_SHARES: Shares = {
  at: Number.NEGATIVE_INFINITY,
  over: new Set(),
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

export class AccountShares {
  readonly #clock: Clock;

  /** Returns this daemon's part of an account's requests, from 0 to 1; undefined if it is unknown. */
  readonly #findOwnPart: (accountName: string) => number | undefined;

  readonly #usage = new Map<string, Usage>();

  #shares = NO_SHARES;

  constructor(clock: Clock, findOwnPart: (accountName: string) => number | undefined) {
    this.#clock = clock;
    this.#findOwnPart = findOwnPart;
  }

  recordArrival(account: ShareAccount): void {
    this.#record(account, 1, 0);
  }

  /** Records that a request was sent to an upstream for the first time. */
  recordServed(account: ShareAccount): void {
    this.#record(account, 0, 1);
  }

  isOverShare(accountName: string): boolean {
    return this.#getShares().over.has(accountName);
  }

  countOverShare(): number {
    return this.#getShares().over.size;
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
      at: this.#clock.now(),
    });
  }

  #decay(usage: Usage | undefined): Usage | undefined {
    if (!usage) return undefined;
    const now = this.#clock.now();
    const factor = Math.exp((usage.at - now) / TIME_CONSTANT_MS);
    return { ...usage, asked: usage.asked * factor, served: usage.served * factor, at: now };
  }

  #getShares(): Shares {
    if (this.#clock.now() - this.#shares.at >= MAX_AGE_MS) this.#shares = this.#computeShares();
    return this.#shares;
  }

  #computeShares(): Shares {
    const at = this.#clock.now();
    const demands = this.#listDemands();
    const total = demands.reduce((sum, { served }) => sum + served, 0);
    const level = computeFairLevel(demands, total);
    const shares = demands.map((demand) => ({
      ...demand,
      share: Math.min(demand.asked, demand.weight * level),
    }));
    const over = shares.filter(
      ({ asked, served, share }) => asked > share + TOLERANCE && served > share + TOLERANCE,
    );
    return {
      at,
      over: new Set(shares.length > 1 ? over.map(({ name }) => name) : []),
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
      ownPart: this.#findOwnPart(name),
    }));
    const meanRate = computeMean(rows.flatMap(({ ratePerSecond }) => ratePerSecond ?? []));
    const meanPart = computeMean(rows.flatMap(({ ownPart }) => ownPart ?? []));
    return rows.map(({ name, ratePerSecond, asked, served, ownPart }) => ({
      name,
      weight: (ratePerSecond ?? meanRate) * (ownPart ?? meanPart),
      asked,
      served,
    }));
  }
}
