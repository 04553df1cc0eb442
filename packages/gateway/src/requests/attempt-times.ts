/**
 * Moving averages of the attempt time of each route, in milliseconds. Queueing, hedging and the
 * detection of overdue attempts use them.
 */

/** Weight of the newest attempt in the moving average. */
const NEWEST_WEIGHT = 0.05;
/** Assumed until the first good answer of a route. */
const INITIAL_MEAN_MS = 150;

/** An attempt that takes this many times the mean counts as a failure of its upstream. */
const OVERDUE_FACTOR = 4;
const MIN_OVERDUE_MS = 500;
/** A repeatable request is hedged after this many times the mean attempt time. */
const HEDGE_FACTOR = 2.5;
const MIN_HEDGE_MS = 120;

export class AttemptTimes {
  readonly #means = new Map<string, number>();

  /** Records how long a good answer took. */
  record(routeId: string, elapsedMs: number): void {
    const known = this.#means.get(routeId);
    const mean = known === undefined ? elapsedMs : known + (elapsedMs - known) * NEWEST_WEIGHT;
    this.#means.set(routeId, mean);
  }

  getMeanMs(routeId: string): number {
    return this.#means.get(routeId) ?? INITIAL_MEAN_MS;
  }

  /** After this time an attempt counts as a failure of its upstream. */
  getOverdueMs(routeId: string): number {
    return Math.max(MIN_OVERDUE_MS, this.getMeanMs(routeId) * OVERDUE_FACTOR);
  }

  /** After this time a repeatable request is hedged. */
  getHedgeDelayMs(routeId: string): number {
    return Math.max(MIN_HEDGE_MS, this.getMeanMs(routeId) * HEDGE_FACTOR);
  }
}
