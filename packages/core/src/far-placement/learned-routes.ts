/**
 * What answers show of the routes of one service: the size of their answers, and how long an attempt
 * takes in each data centre. Times are averaged over completed attempts, so that slots divided by
 * the average is the throughput, also where some upstreams are much slower than others.
 */

/** Weight of the newest answer in the moving averages. */
const NEWEST_WEIGHT = 0.05;
/** Assumed until the first answer. */
const INITIAL_ATTEMPT_MS = 150;

/** Averages all routes of the service. */
const ALL_ROUTES = '*';

export type LearnedAnswer = {
  readonly routeId: string;
  readonly dataCentre: string;
  readonly elapsedMs: number;
  readonly bytes: number;
};

function refreshMean(means: Map<string, number>, key: string, value: number): void {
  const known = means.get(key);
  means.set(key, known === undefined ? value : known + (value - known) * NEWEST_WEIGHT);
}

export class LearnedRoutes {
  readonly #bytes = new Map<string, number>();

  readonly #attemptMs = new Map<string, number>();

  record({ routeId, dataCentre, elapsedMs, bytes }: LearnedAnswer): void {
    refreshMean(this.#bytes, routeId, bytes);
    refreshMean(this.#attemptMs, `${dataCentre} ${routeId}`, elapsedMs);
    refreshMean(this.#attemptMs, `${dataCentre} ${ALL_ROUTES}`, elapsedMs);
  }

  /** Returns the usual size of a route's answers in bytes. */
  getAnswerBytes(routeId: string): number {
    return this.#bytes.get(routeId) ?? 0;
  }

  /** Returns the usual attempt time of a route, or of all routes, in a data centre. */
  getAttemptMs(dataCentre: string, routeId: string = ALL_ROUTES): number {
    return (
      this.#attemptMs.get(`${dataCentre} ${routeId}`) ??
      this.#attemptMs.get(`${dataCentre} ${ALL_ROUTES}`) ??
      INITIAL_ATTEMPT_MS
    );
  }

  /** Returns the attempt time in a far data centre: that of the near one until it is learned. */
  getFarAttemptMs(dataCentre: string, near: string, routeId: string): number {
    const key = `${dataCentre} ${routeId}`;
    return this.#attemptMs.get(key) ?? this.getAttemptMs(near, routeId);
  }
}
