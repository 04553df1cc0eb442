/**
 * This daemon's part of the requests of each client account.
 *
 * Load pattern: the callers of an account connect to one daemon, to ten, or move among them while a
 * service is short of capacity. The part by which each daemon weighs the account follows them.
 */
import type { Clock } from '../runtime/index.js';
import { ArrivalRate } from './arrival-rate.js';

/** Returns an account's requests per second over the fleet; undefined if they are unknown. */
export type GetFleetRate = (accountName: string) => number | undefined;

/** A smaller part would let a single late report of the fleet's requests shut an account out. */
const MIN_PART = 1 / 64;
const MS_PER_SECOND = 1000;

export class AccountParts {
  readonly #clock: Clock;

  readonly #getFleetRate: GetFleetRate;

  readonly #arrivals = new Map<string, ArrivalRate>();

  constructor(clock: Clock, getFleetRate: GetFleetRate) {
    this.#clock = clock;
    this.#getFleetRate = getFleetRate;
  }

  recordArrival(accountName: string): void {
    const known = this.#arrivals.get(accountName) ?? new ArrivalRate(this.#clock);
    this.#arrivals.set(accountName, known);
    known.recordArrival();
  }

  /** Finds the part of an account's requests that come to this daemon; undefined if it is unknown. */
  findOwnPart(accountName: string): number | undefined {
    const fleetRate = this.#getFleetRate(accountName);
    const ownRate = (this.#arrivals.get(accountName)?.getPerMs() ?? 0) * MS_PER_SECOND;
    if (fleetRate === undefined || fleetRate <= 0) return undefined;
    return Math.max(MIN_PART, Math.min(1, ownRate / fleetRate));
  }

  /** Forgets all accounts but those named. */
  keep(accountNames: ReadonlySet<string>): void {
    [...this.#arrivals.keys()]
      .filter((name) => !accountNames.has(name))
      .forEach((name) => this.#arrivals.delete(name));
  }
}
