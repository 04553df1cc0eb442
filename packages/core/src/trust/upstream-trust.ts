/**
 * Which upstreams are trusted with requests that nobody may send twice.
 *
 * Load pattern: upstreams that fail most of their requests for many seconds while their health is
 * good, and sound ones that fail one in a hundred. A risk is kept for each upstream; above a bound
 * it is suspect. Since nothing but a preference changes, being wrong is cheap. A suspect is tested
 * with safe requests, which may be tried again elsewhere. What upstreams answer to any dispatcher is
 * pooled in one book.
 */
import { ageBelief, computeRisk, createBelief, applyOutcome } from './failure-filter.js';
import type { FailureBelief, FailureModel } from './failure-filter.js';

export type TrustSettings = {
  readonly model: FailureModel;
  /** Up to this probability of failure an upstream is trusted. */
  readonly trustedRisk: number;
  /** Shortest time between two tests of a suspect by a dispatcher, in milliseconds. */
  readonly testIntervalMs: number;
  /** The same where the last test ended well, or the failure was more likely a single one. */
  readonly confirmIntervalMs: number;
  /** The same where no answer came: such a test costs its caller the time until it is repeated. */
  readonly silentIntervalMs: number;
};

/** From quiet days: spells of 9 to 12 seconds, 25 seconds apart, beside one failure in 80. */
export const DEFAULT_TRUST_SETTINGS: TrustSettings = {
  model: {
    soundFailureShare: 0.012,
    spells: [
      { failureShare: 0.85, share: 0.75 },
      { failureShare: 0.4, share: 0.25 },
    ],
    meanSpellMs: 10_000,
    meanSoundMs: 25_000,
    initialSound: 0.95,
  },
  trustedRisk: 0.2,
  testIntervalMs: 400,
  confirmIntervalMs: 30,
  silentIntervalMs: 2000,
};

/** Links break rarely and then wholly, for seconds; a sound one hardly ever refuses a connection. */
export const DEFAULT_LINK_SETTINGS: TrustSettings = {
  model: {
    soundFailureShare: 0.001,
    spells: [{ failureShare: 0.98, share: 1 }],
    meanSpellMs: 5000,
    meanSoundMs: 300_000,
    initialSound: 0.99,
  },
  trustedRisk: 0.2,
  testIntervalMs: 500,
  confirmIntervalMs: 30,
  silentIntervalMs: 500,
};

/** Below this risk a suspect has more likely failed by chance than in a spell. */
const HOPEFUL_RISK = 0.5;

/** What one attempt showed of an upstream. */
export type TrustEvent = {
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
const RISK_AGE_MS = 20;

type Standing = {
  readonly belief: FailureBelief;
  /** The risk as computed last, and when. */
  readonly risk: number;
  readonly riskAt: number;
  readonly wasLastGood: boolean;
  readonly wasLastSilent: boolean;
  readonly lastFailureAt: number;
  readonly lastTestAt: number;
};

export class UpstreamTrust {
  readonly #settings: TrustSettings;

  readonly #standings = new Map<string, Standing>();

  readonly #initialRisk: number;

  constructor(settings: TrustSettings = DEFAULT_TRUST_SETTINGS) {
    this.#settings = settings;
    this.#initialRisk = computeRisk(settings.model, createBelief(settings.model, 0));
  }

  /** Takes in an outcome; returns what changed, if anything. */
  record({ upstreamId, isGood, at, isSilent = false }: TrustEvent): TrustChange | undefined {
    const { model, trustedRisk } = this.#settings;
    const known = this.#standings.get(upstreamId) ?? this.#createStanding(at);
    // A request that was sent before the last failure was seen shows nothing of what came after.
    if (isGood && at <= known.lastFailureAt) return undefined;
    const wasSuspect = this.#computeRisk(known, at) > trustedRisk;
    const belief = applyOutcome(model, known.belief, isGood, at);
    const standing = {
      belief,
      risk: computeRisk(model, belief),
      riskAt: at,
      wasLastGood: isGood,
      wasLastSilent: isSilent,
      lastFailureAt: isGood ? known.lastFailureAt : Math.max(known.lastFailureAt, at),
      lastTestAt: Math.max(known.lastTestAt, at),
    };
    this.#standings.set(upstreamId, standing);
    const isSuspect = standing.risk > trustedRisk;
    if (isSuspect === wasSuspect) return undefined;
    return isSuspect ? 'suspected' : 'trusted';
  }

  /** Probability that the next request to an upstream fails, from 0 to 1. */
  getRisk(upstreamId: string, now: number): number {
    const known = this.#standings.get(upstreamId);
    if (!known) return this.#initialRisk;
    if (Math.abs(now - known.riskAt) < RISK_AGE_MS) return known.risk;
    const risk = this.#computeRisk(known, now);
    this.#standings.set(upstreamId, { ...known, risk, riskAt: now });
    return risk;
  }

  isSuspect(upstreamId: string, now: number): boolean {
    return this.getRisk(upstreamId, now) > this.#settings.trustedRisk;
  }

  /** Whether a suspect may be tested now. */
  isTestDue(upstreamId: string, now: number): boolean {
    const known = this.#standings.get(upstreamId);
    if (!known) return false;
    return now - known.lastTestAt >= this.#getTestIntervalMs(known, now);
  }

  /** Notes that a test is under way. */
  recordTest(upstreamId: string, now: number): void {
    const known = this.#standings.get(upstreamId);
    if (known) this.#standings.set(upstreamId, { ...known, lastTestAt: now });
  }

  /** Whether anything is known of any upstream. */
  get hasNews(): boolean {
    return this.#standings.size > 0;
  }

  /** Forgets upstreams that are gone. */
  keep(upstreamIds: ReadonlySet<string>): void {
    [...this.#standings.keys()]
      .filter((id) => !upstreamIds.has(id))
      .forEach((id) => this.#standings.delete(id));
  }

  #getTestIntervalMs(known: Standing, now: number): number {
    const { testIntervalMs, confirmIntervalMs, silentIntervalMs } = this.#settings;
    if (known.wasLastSilent) return silentIntervalMs;
    const isHopeful = known.wasLastGood || this.#computeRisk(known, now) < HOPEFUL_RISK;
    return isHopeful ? confirmIntervalMs : testIntervalMs;
  }

  #createStanding(at: number): Standing {
    return {
      belief: createBelief(this.#settings.model, at),
      risk: this.#initialRisk,
      riskAt: at,
      wasLastGood: true,
      wasLastSilent: false,
      lastFailureAt: Number.NEGATIVE_INFINITY,
      lastTestAt: Number.NEGATIVE_INFINITY,
    };
  }

  #computeRisk({ belief }: Standing, now: number): number {
    const { model } = this.#settings;
    return computeRisk(model, ageBelief(model, belief, now));
  }
}
