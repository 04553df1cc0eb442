/**
 * Which upstreams are trusted with requests that nobody may send twice.
 *
 * Load pattern: upstreams that fail most of their requests for seconds while their health is
 * good. A single failure is far likelier in such a spell than outside one, so the first failure
 * makes an upstream suspect at once; since nothing but a preference changes, being wrong is cheap.
 * A suspect is tested with safe requests, which may be tried again elsewhere, and is trusted anew
 * after a few good answers in a row. Outcomes of all dispatchers are pooled in one book.
 */

export type TrustSettings = {
  /** Good answers in a row after which a suspect is trusted again. */
  readonly goodAnswersToReturn: number;
  /** After so long without any failure a suspect is trusted again, in milliseconds. */
  readonly maxSuspicionMs: number;
  /** Shortest time between two tests of a suspect by the fleet, in milliseconds. */
  readonly testIntervalMs: number;
  /** The same once the last test ended well. */
  readonly confirmIntervalMs: number;
};

/** From trials on the quiet days: 3 answers beat 1 and 2; gray spells last 3 to 5 seconds. */
export const DEFAULT_TRUST_SETTINGS: TrustSettings = {
  goodAnswersToReturn: 3,
  maxSuspicionMs: 4500,
  testIntervalMs: 200,
  confirmIntervalMs: 30,
};

/** What one attempt showed of an upstream. */
export type TrustEvent = {
  readonly upstreamId: string;
  readonly isGood: boolean;
  /** When the attempt ended, in milliseconds of the daemon's clock. */
  readonly at: number;
};

export type TrustChange = 'suspected' | 'trusted';

type Standing = {
  readonly isSuspect: boolean;
  readonly goodInRow: number;
  readonly lastFailureAt: number;
  readonly lastTestAt: number;
};

const TRUSTED: Standing = {
  isSuspect: false,
  goodInRow: 0,
  lastFailureAt: Number.NEGATIVE_INFINITY,
  lastTestAt: Number.NEGATIVE_INFINITY,
};

export class UpstreamTrust {
  readonly #settings: TrustSettings;

  readonly #standings = new Map<string, Standing>();

  constructor(settings: TrustSettings = DEFAULT_TRUST_SETTINGS) {
    this.#settings = settings;
  }

  /** Takes in an outcome; returns what changed, if anything. */
  record({ upstreamId, isGood, at }: TrustEvent): TrustChange | undefined {
    const known = this.#standings.get(upstreamId) ?? TRUSTED;
    return isGood
      ? this.#recordGood(upstreamId, known, at)
      : this.#recordBad(upstreamId, known, at);
  }

  isSuspect(upstreamId: string, now: number): boolean {
    const known = this.#standings.get(upstreamId);
    if (!known?.isSuspect) return false;
    return now - known.lastFailureAt < this.#settings.maxSuspicionMs;
  }

  /** Whether a suspect may be tested now. */
  isTestDue(upstreamId: string, now: number): boolean {
    const known = this.#standings.get(upstreamId);
    if (!known) return false;
    const { testIntervalMs, confirmIntervalMs } = this.#settings;
    return now - known.lastTestAt >= (known.goodInRow > 0 ? confirmIntervalMs : testIntervalMs);
  }

  /** Notes that a test is under way. */
  recordTest(upstreamId: string, now: number): void {
    const known = this.#standings.get(upstreamId);
    if (known) this.#standings.set(upstreamId, { ...known, lastTestAt: now });
  }

  getLastFailureAt(upstreamId: string): number {
    return this.#standings.get(upstreamId)?.lastFailureAt ?? TRUSTED.lastFailureAt;
  }

  /** Forgets upstreams that are gone. */
  keep(upstreamIds: ReadonlySet<string>): void {
    [...this.#standings.keys()]
      .filter((id) => !upstreamIds.has(id))
      .forEach((id) => this.#standings.delete(id));
  }

  #recordGood(upstreamId: string, known: Standing, at: number): TrustChange | undefined {
    if (!known.isSuspect || at <= known.lastFailureAt) return undefined;
    const goodInRow = known.goodInRow + 1;
    const isSuspect = goodInRow < this.#settings.goodAnswersToReturn;
    const lastTestAt = Math.max(known.lastTestAt, at);
    this.#standings.set(upstreamId, { ...known, goodInRow, isSuspect, lastTestAt });
    return isSuspect ? undefined : 'trusted';
  }

  #recordBad(upstreamId: string, known: Standing, at: number): TrustChange | undefined {
    const lastFailureAt = Math.max(known.lastFailureAt, at);
    const lastTestAt = Math.max(known.lastTestAt, at);
    const suspect = { isSuspect: true, goodInRow: 0, lastFailureAt, lastTestAt };
    this.#standings.set(upstreamId, suspect);
    return known.isSuspect ? undefined : 'suspected';
  }
}
