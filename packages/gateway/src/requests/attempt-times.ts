/**
 * How long attempts of each route usually take, as moving averages: what waiting, hedging and the
 * search for overdue attempts are measured against.
 */

/** Weight of the newest attempt in the average. */
const NEWEST_WEIGHT = 0.05;
/** Until a route has been seen, in milliseconds. */
const INITIAL_MS = 150;

export class AttemptTimes {
  readonly #means = new Map<string, number>();

  /** Notes how long a good answer took. */
  record(routeId: string, elapsedMs: number): void {
    const known = this.#means.get(routeId);
    const mean = known === undefined ? elapsedMs : known + (elapsedMs - known) * NEWEST_WEIGHT;
    this.#means.set(routeId, mean);
  }

  getMeanMs(routeId: string): number {
    return this.#means.get(routeId) ?? INITIAL_MS;
  }
}
