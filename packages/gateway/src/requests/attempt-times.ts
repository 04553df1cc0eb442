/**
 * Moving averages of the attempt time of each route, in milliseconds. Queueing, hedging and the
 * detection of overdue attempts use them.
 */

/** Weight of the newest attempt in the moving average. */
const NEWEST_WEIGHT = 0.05;
/** Assumed until the first good answer of a route. */
const INITIAL_MEAN_MS = 150;

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
}
