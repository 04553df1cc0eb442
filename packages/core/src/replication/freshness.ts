/**
 * Tracks how fresh a daemon's records are, and decides which daemons read the store when the
 * records are stale.
 *
 * Load pattern: hundreds of daemons, a store that counts every call, and readers that die or that
 * the store rejects. If every daemon read the store as soon as it received no updates, the store
 * would get the most calls when it can handle the fewest. Therefore each daemon tracks when its
 * records last matched the store, directly or through peers. When the records are stale, the
 * daemons of a data centre read the store one after the other in order of rank, each of them only
 * if the ones before it have not refreshed the records.
 */

export type FreshnessSettings = {
  /** Age of the records at which the daemon of rank 0 reads the store, in milliseconds. */
  readonly firstReadAgeMs: number;
  /** Additional delay per rank, in milliseconds. */
  readonly rankDelayMs: number;
  /** Daemons from this rank on wait a random time, one to two times the delay of this rank. */
  readonly lastOrderedRank: number;
  /** Helpers (daemons that read in a reader's place) asked once the store does not answer it. */
  readonly initialHelpers: number;
  /** Time without an answer from a helper after which as many more are asked, in milliseconds. */
  readonly helperTimeoutMs: number;
  /** Maximum number of helpers; if none of these can read, the store is down. */
  readonly maxHelpers: number;
};

/**
 * In normal operation the records of a follower are up to 1.2 s old: watch calls last 0.7 s and
 * followers poll every 0.4 s. A configuration must be active within 2 s of its publication.
 */
export const DEFAULT_FRESHNESS_SETTINGS: FreshnessSettings = {
  firstReadAgeMs: 1300,
  rankDelayMs: 150,
  lastOrderedRank: 6,
  initialHelpers: 2,
  helperTimeoutMs: 300,
  maxHelpers: 12,
};

/** A daemon's statement about the age of its records, which it sends to its peers. */
export type FreshnessClaim = {
  /** Time since the records last matched the store, in milliseconds. */
  readonly ageMs: number;
  /** The daemon that read the store at that time. */
  readonly sourceId: string;
};

export class Freshness {
  readonly #selfId: string;

  readonly #settings: FreshnessSettings;

  #ownReadAt = Number.NEGATIVE_INFINITY;

  #peerClaim = { at: Number.NEGATIVE_INFINITY, sourceId: '' };

  constructor(selfId: string, settings: FreshnessSettings = DEFAULT_FRESHNESS_SETTINGS) {
    this.#selfId = selfId;
    this.#settings = settings;
  }

  /** Records that this daemon has just read the store. */
  recordRead(now: number): void {
    this.#ownReadAt = now;
  }

  /** Records a peer's claim, unless it derives from a read of this daemon. */
  recordClaim({ ageMs, sourceId }: FreshnessClaim, now: number): void {
    if (sourceId === this.#selfId) return;
    const at = now - Math.max(0, ageMs);
    if (at > this.#peerClaim.at) this.#peerClaim = { at, sourceId };
  }

  /** Builds the claim for peers; undefined before the first read or claim. */
  buildClaim(now: number): FreshnessClaim | undefined {
    const isOwn = this.#ownReadAt >= this.#peerClaim.at;
    const at = isOwn ? this.#ownReadAt : this.#peerClaim.at;
    if (at === Number.NEGATIVE_INFINITY) return undefined;
    return { ageMs: now - at, sourceId: isOwn ? this.#selfId : this.#peerClaim.sourceId };
  }

  /** The daemon whose read of the store is behind the latest claim of a peer. */
  get sourceId(): string {
    return this.#peerClaim.sourceId;
  }

  /** Age of the records in milliseconds, according to peers alone. */
  getPeerClaimAgeMs(now: number): number {
    return now - this.#peerClaim.at;
  }

  /**
   * How many helpers a reader asks if the store has not answered it for `awayMs`. The number grows
   * while no helper claims a fresh read, since the store may reject many of them.
   */
  countHelpers(now: number, awayMs: number): number {
    const { initialHelpers, helperTimeoutMs, maxHelpers } = this.#settings;
    const steps = Math.floor(Math.min(awayMs, this.getPeerClaimAgeMs(now)) / helperTimeoutMs);
    // In normal operation a claim is up to one step old, so the first step adds no helpers.
    return Math.min(maxHelpers, initialHelpers * Math.max(1, steps));
  }

  /**
   * Whether a daemon that is not a reader should read the store itself. `rank` is its rank in its
   * data centre, starting at 0. `jitter` is its own random number from 0 to 1, which spreads the
   * daemons from `lastOrderedRank` on. `waitedMs` is the time since it began to wait for claims.
   */
  shouldRead(now: number, rank: number, jitter: number, waitedMs: number): boolean {
    const { firstReadAgeMs, rankDelayMs, lastOrderedRank } = this.#settings;
    const delaySteps = rank < lastOrderedRank ? rank : lastOrderedRank + jitter * lastOrderedRank;
    const ageMs = Math.min(this.getPeerClaimAgeMs(now), waitedMs);
    return ageMs > firstReadAgeMs + delaySteps * rankDelayMs;
  }
}
