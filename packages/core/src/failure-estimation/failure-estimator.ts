/**
 * Which upstreams are trusted with requests that nobody may send twice.
 *
 * Load pattern: upstreams that fail most of their requests for many seconds while their health is
 * good, and sound ones that fail one in a hundred. A risk is kept for each upstream; above a bound
 * it is suspect. Since nothing but a preference changes, being wrong is cheap. A suspect is tested
 * with safe requests, which may be tried again elsewhere. What upstreams answer to any dispatcher is
 * pooled in one book.
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
  /** Up to this probability of failure an upstream is trusted. */
  readonly suspectThreshold: number;
  /** Shortest time between two tests of a suspect by a dispatcher, in milliseconds. */
  readonly testIntervalMs: number;
  /** The same where the last test ended well, or the failure was more likely a single one. */
  readonly confirmIntervalMs: number;
  /** The same where no answer came: such a test costs its caller the time until it is repeated. */
  readonly silentIntervalMs: number;
};

/** From quiet days: spells of 9 to 12 seconds, 25 seconds apart, beside one failure in 80. */
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

/** Links break rarely and then wholly, for seconds; a sound one hardly ever refuses a connection. */
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

/** Below this risk a suspect has more likely failed by chance than in a spell. */
const LIKELY_HEALTHY_MAX_PROBABILITY = 0.5;

/** What one attempt showed of an upstream. */
export type AttemptOutcome = {
  readonly upstreamId: string;
  readonly isGood: boolean;
  /**
   * In milliseconds of the daemon's clock: when a good answer's request was sent, since that is the
   * latest time at which the upstream was surely sound, and when a failure was seen.
   */
  readonly at: number;
  /** Whether it failed by not answering; false where absent. */
  readonly isSilent?: boolean;
};

export type TrustChange = 'suspected' | 'trusted';

/** A risk is used again for so long, in milliseconds: beliefs drift over seconds. */
const PROBABILITY_CACHE_MS = 20;

type UpstreamEntry = {
  readonly belief: FailureBelief;
  /** The risk as computed last, and when. */
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

  /** Takes in an outcome; returns what changed, if anything. */
  record({ upstreamId, isGood, at, isSilent = false }: AttemptOutcome): TrustChange | undefined {
    const { model, suspectThreshold } = this.#settings;
    const previous = this.#entries.get(upstreamId) ?? this.#createEntry(at);
    // A request that was sent before the last failure was seen shows nothing of what came after.
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

  /** Whether a suspect may be tested now. */
  isTestDue(upstreamId: string, now: number): boolean {
    const entry = this.#entries.get(upstreamId);
    if (!entry) return false;
    return now - entry.lastTestAt >= this.#getTestIntervalMs(entry, now);
  }

  /** Notes that a test is under way. */
  recordTest(upstreamId: string, now: number): void {
    const entry = this.#entries.get(upstreamId);
    if (entry) this.#entries.set(upstreamId, { ...entry, lastTestAt: now });
  }

  /** Whether anything is known of any upstream. */
  get hasRecords(): boolean {
    return this.#entries.size > 0;
  }

  /** Forgets upstreams that are gone. */
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
