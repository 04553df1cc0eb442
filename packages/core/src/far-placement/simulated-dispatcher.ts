/**
 * The state of one dispatcher in simulated time, for tests.
 */
import { FailureEstimator } from '../failure-estimation/index.js';
import { ArrivalRate, RequestQueue } from '../queueing/index.js';
import { SlidingWindowRetryBudget } from '../retries/index.js';
import { FarPlacement } from './far-placement.js';
import { DEFAULT_FAR_PLACEMENT_SETTINGS } from './types.js';
import type { ServiceView } from './types.js';

export type SimulatedRequest = {
  readonly id: string;
  readonly arrivedAt: number;
  readonly isRepeatable: boolean;
  readonly tried: Set<string>;
  attempts: number;
};

const RETRY_BUDGET = { ratio: 0.2, fleetSlack: 200, windowMs: 10_000, getSlackShare: () => 1 / 64 };
/** Older news of requests in flight counts as none, as in the gateway. */
const NEWS_MAX_AGE_MS = 1000;
const NEWEST_WEIGHT = 0.05;

export class SimulatedDispatcher {
  readonly queue = new RequestQueue<{
    readonly id: string;
    readonly priority: number;
    readonly arrivedAt: number;
    readonly targetAt: number;
    readonly latestSendAt: number;
    readonly expectedAttemptMs: number;
    readonly isRetry: boolean;
    readonly request: SimulatedRequest;
  }>();

  readonly trust = new FailureEstimator();

  readonly own = new Map<string, number>();

  readonly news = new Map<
    string,
    { readonly at: number; readonly inFlight: ReadonlyMap<string, number> }
  >();

  readonly pausedUntil = new Map<string, number>();

  readonly far: FarPlacement;

  readonly arrivals: ArrivalRate;

  readonly retries: SlidingWindowRetryBudget;

  meanAttemptMs = 150;

  view: ServiceView | undefined;

  constructor(
    readonly id: string,
    readonly dataCentre: string,
    clock: { now: () => number },
  ) {
    this.far = new FarPlacement(dataCentre, DEFAULT_FAR_PLACEMENT_SETTINGS, clock.now());
    this.arrivals = new ArrivalRate(clock);
    this.retries = new SlidingWindowRetryBudget(RETRY_BUDGET, clock);
  }

  recordAttemptTime(elapsedMs: number): void {
    this.meanAttemptMs += (elapsedMs - this.meanAttemptMs) * NEWEST_WEIGHT;
  }

  countInFlight(upstreamId: string, now: number): number {
    return [...this.news.values()].reduce(
      (sum, { at, inFlight }) =>
        sum + (now - at > NEWS_MAX_AGE_MS ? 0 : (inFlight.get(upstreamId) ?? 0)),
      this.own.get(upstreamId) ?? 0,
    );
  }

  recordOwn(upstreamId: string, change: number): void {
    this.own.set(upstreamId, (this.own.get(upstreamId) ?? 0) + change);
  }
}
