/**
 * Tracks the failure probability of each upstream and marks upstreams as trusted or suspect.
 * Non-repeatable requests go to trusted upstreams where possible.
 *
 * Load pattern: some upstreams fail most of their requests for many seconds although their health
 * checks pass; healthy ones fail about one request in a hundred. An upstream is a suspect while its
 * failure probability is above a threshold. A wrong verdict costs little, since it changes only the
 * order of preference. Suspects are tested with repeatable requests, which can be retried at another
 * upstream. One estimator combines the answers that all dispatchers have received.
 */
import {
  advanceBelief,
  computeFailureProbability,
  createBelief,
  applyOutcome,
} from './failure-model.js';
import type { FailureBelief, FailureModel } from './failure-model.js';

export type FailureEstimatorSettings = {
  readonly model: FailureModel;
  /** Above this failure probability, from 0 to 1, an upstream is a suspect. */
  readonly suspectThreshold: number;
  /** Minimum time between two tests of a suspect by one dispatcher, in milliseconds. */
  readonly testIntervalMs: number;
  /** The same after a good answer, or if the last failure was probably a chance failure. */
  readonly confirmIntervalMs: number;
  /** The same after a time-out: such a test delays its caller until the request is retried. */
  readonly silentIntervalMs: number;
};

/** Days without incidents show episodes of 9 to 12 s, 25 s apart, and one chance failure in 80. */
export const DEFAULT_UPSTREAM_ESTIMATOR_SETTINGS: FailureEstimatorSettings = {
  model: {
    healthyFailureProbability: 0.012,
    episodeKinds: [
      { failureProbability: 0.85, share: 0.75 },
      { failureProbability: 0.4, share: 0.25 },
    ],
    meanEpisodeMs: 10_000,
    meanHealthyMs: 25_000,
    initialHealthyProbability: 0.95,
  },
  suspectThreshold: 0.2,
  testIntervalMs: 400,
  confirmIntervalMs: 30,
  silentIntervalMs: 2000,
};

/** Links fail rarely but completely, for seconds; a healthy link hardly ever refuses a connection. */
export const DEFAULT_LINK_ESTIMATOR_SETTINGS: FailureEstimatorSettings = {
  model: {
    healthyFailureProbability: 0.001,
    episodeKinds: [{ failureProbability: 0.98, share: 1 }],
    meanEpisodeMs: 5000,
    meanHealthyMs: 300_000,
    initialHealthyProbability: 0.99,
  },
  suspectThreshold: 0.2,
  testIntervalMs: 500,
  confirmIntervalMs: 30,
  silentIntervalMs: 500,
};

/** Below this failure probability, the last failure was more likely chance than an episode. */
const LIKELY_HEALTHY_MAX_PROBABILITY = 0.5;

/** The outcome of one attempt at an upstream. */
export type AttemptOutcome = {
  readonly upstreamId: string;
  readonly isGood: boolean;
  /**
   * In milliseconds of the daemon's clock. For a good answer, the time at which its request was
   * sent: the upstream is not known to have been healthy any later. For a failure, the time at which
   * it was seen.
   */
  readonly at: number;
  /** Whether the attempt failed because no answer came in time; false by default. */
  readonly isSilent?: boolean;
};

/** What an outcome changed: the upstream became a suspect, or is trusted again. */
export type TrustChange = 'suspected' | 'trusted';

/** How long a computed failure probability is reused; without outcomes it changes over seconds. */
const PROBABILITY_CACHE_MS = 20;

type UpstreamEntry = {
  readonly belief: FailureBelief;
  /** The failure probability that was computed last, and the time for which it holds. */
  readonly failureProbability: number;
  readonly computedAt: number;
  readonly wasLastGood: boolean;
  readonly wasLastSilent: boolean;
  readonly lastFailureAt: number;
  readonly lastTestAt: number;
};

export class FailureEstimator {
  readonly #settings: FailureEstimatorSettings;

  readonly #entries = new Map<string, UpstreamEntry>();

  readonly #initialFailureProbability: number;

  constructor(settings: FailureEstimatorSettings = DEFAULT_UPSTREAM_ESTIMATOR_SETTINGS) {
    this.#settings = settings;
    this.#initialFailureProbability = computeFailureProbability(
      settings.model,
      createBelief(settings.model, 0),
    );
  }

  /** Records an outcome; returns the change of trust, if any. */
  record({ upstreamId, isGood, at, isSilent = false }: AttemptOutcome): TrustChange | undefined {
    const { model, suspectThreshold } = this.#settings;
    const previous = this.#entries.get(upstreamId) ?? this.#createEntry(at);
    // A request that was sent before the last failure was seen says nothing about the time after it.
    if (isGood && at <= previous.lastFailureAt) return undefined;
    const wasSuspect = this.#computeFailureProbability(previous, at) > suspectThreshold;
    const belief = applyOutcome(model, previous.belief, isGood, at);
    const updated = {
      belief,
      failureProbability: computeFailureProbability(model, belief),
      computedAt: at,
      wasLastGood: isGood,
      wasLastSilent: isSilent,
      lastFailureAt: isGood ? previous.lastFailureAt : Math.max(previous.lastFailureAt, at),
      lastTestAt: Math.max(previous.lastTestAt, at),
    };
    this.#entries.set(upstreamId, updated);
    const isSuspect = updated.failureProbability > suspectThreshold;
    if (isSuspect === wasSuspect) return undefined;
    return isSuspect ? 'suspected' : 'trusted';
  }

  /** Probability that the next request to an upstream fails, from 0 to 1. */
  getFailureProbability(upstreamId: string, now: number): number {
    const entry = this.#entries.get(upstreamId);
    if (!entry) return this.#initialFailureProbability;
    if (Math.abs(now - entry.computedAt) < PROBABILITY_CACHE_MS) return entry.failureProbability;
    const failureProbability = this.#computeFailureProbability(entry, now);
    this.#entries.set(upstreamId, { ...entry, failureProbability, computedAt: now });
    return failureProbability;
  }

  isSuspect(upstreamId: string, now: number): boolean {
    return this.getFailureProbability(upstreamId, now) > this.#settings.suspectThreshold;
  }

  /** Whether a suspect is due for a test. */
  isTestDue(upstreamId: string, now: number): boolean {
    const entry = this.#entries.get(upstreamId);
    if (!entry) return false;
    return now - entry.lastTestAt >= this.#getTestIntervalMs(entry, now);
  }

  /** Records that a test has been sent. */
  recordTest(upstreamId: string, now: number): void {
    const entry = this.#entries.get(upstreamId);
    if (entry) this.#entries.set(upstreamId, { ...entry, lastTestAt: now });
  }

  /** Whether the estimator has an outcome of any upstream. */
  get hasRecords(): boolean {
    return this.#entries.size > 0;
  }

  /** Removes what is known of an upstream, which has started again. */
  forget(upstreamId: string): void {
    this.#entries.delete(upstreamId);
  }

  /** Removes all upstreams but the given ones. */
  keep(upstreamIds: ReadonlySet<string>): void {
    [...this.#entries.keys()]
      .filter((id) => !upstreamIds.has(id))
      .forEach((id) => this.#entries.delete(id));
  }

  #getTestIntervalMs(entry: UpstreamEntry, now: number): number {
    const { testIntervalMs, confirmIntervalMs, silentIntervalMs } = this.#settings;
    if (entry.wasLastSilent) return silentIntervalMs;
    const isLikelyHealthy =
      entry.wasLastGood ||
      this.#computeFailureProbability(entry, now) < LIKELY_HEALTHY_MAX_PROBABILITY;
    return isLikelyHealthy ? confirmIntervalMs : testIntervalMs;
  }

  #createEntry(at: number): UpstreamEntry {
    return {
      belief: createBelief(this.#settings.model, at),
      failureProbability: this.#initialFailureProbability,
      computedAt: at,
      wasLastGood: true,
      wasLastSilent: false,
      lastFailureAt: Number.NEGATIVE_INFINITY,
      lastTestAt: Number.NEGATIVE_INFINITY,
    };
  }

  #computeFailureProbability({ belief }: UpstreamEntry, now: number): number {
    const { model } = this.#settings;
    return computeFailureProbability(model, advanceBelief(model, belief, now));
  }
}
