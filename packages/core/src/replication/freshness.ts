/**
 * Tracks how fresh a daemon's records are, and how many helpers a reader asks that the store does not
 * answer.
 *
 * Load pattern: hundreds of daemons, a store that counts every call, and readers that die or that
 * the store rejects. Each daemon tracks when its records last matched the store, directly or through
 * peers, and when a peer last said so.
 */

export type FreshnessSettings = {
  /** Age at which records are stale, in milliseconds. */
  readonly staleAgeMs: number;
  /** Time without any fresh claim of a peer after which records are stale, in milliseconds. */
  readonly silenceMs: number;
  /** Helpers (daemons that read in a reader's place) asked once the store does not answer it. */
  readonly initialHelpers: number;
  /** Time without an answer from a helper after which as many more are asked, in milliseconds. */
  readonly helperTimeoutMs: number;
  /** Maximum number of helpers; if none of these can read, the store is down. */
  readonly maxHelpers: number;
};

/**
 * In normal operation the records of a follower are up to 1.15 s old: watch calls last 0.7 s and
 * followers poll every 0.4 s. A lost datagram adds 0.2 s. A configuration must be active within 2 s of
 * its publication.
 */
export const DEFAULT_FRESHNESS_SETTINGS: FreshnessSettings = {
  staleAgeMs: 1400,
  silenceMs: 900,
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

/** Claims of one read differ by the rounding and the delay of the messages that carry them. */
const MIN_NEWS_MS = 100;

export class Freshness {
  readonly #selfId: string;

  readonly #settings: FreshnessSettings;

  #ownReadAt = Number.NEGATIVE_INFINITY;

  #peerClaim = { at: Number.NEGATIVE_INFINITY, sourceId: '' };

  /** When a peer last made a fresh claim, whether or not it was a newer one. */
  #confirmedAt = Number.NEGATIVE_INFINITY;

  constructor(selfId: string, settings: FreshnessSettings = DEFAULT_FRESHNESS_SETTINGS) {
    this.#selfId = selfId;
    this.#settings = settings;
  }

  /** Records that this daemon has just read the store. */
  recordRead(now: number): void {
    this.#ownReadAt = now;
  }

  /**
   * Records a peer's claim, unless it derives from a read of this daemon. Returns whether it confirms
   * that the records are fresh: it is, and the peer has read the store itself or tells news. A claim
   * that is only repeated may be that of a daemon which is gone.
   */
  recordClaim(claim: FreshnessClaim, now: number, senderId = claim.sourceId): boolean {
    const { ageMs, sourceId } = claim;
    if (sourceId === this.#selfId) return false;
    const at = now - Math.max(0, ageMs);
    const isNews = at > this.#peerClaim.at + MIN_NEWS_MS;
    if (at > this.#peerClaim.at) this.#peerClaim = { at, sourceId };
    const isConfirmed = this.isFresh(claim) && (isNews || senderId === sourceId);
    if (isConfirmed) this.#confirmedAt = now;
    return isConfirmed;
  }

  /** Whether a claim of this age is one that a daemon in touch with the store makes. */
  isFresh({ ageMs }: FreshnessClaim): boolean {
    return ageMs < this.#settings.staleAgeMs;
  }

  /** Whether a claim is so old that the daemon that makes it may read for want of a reader. */
  isOverdue({ ageMs }: FreshnessClaim): boolean {
    return ageMs >= this.#settings.silenceMs;
  }

  /** Whether a peer has ever made a claim. */
  get hasClaim(): boolean {
    return this.#peerClaim.at > Number.NEGATIVE_INFINITY;
  }

  /**
   * From when on the records are stale, according to peers alone. `waitsSince` is when the daemon began
   * to wait for claims.
   */
  computeStaleSince(waitsSince: number): number {
    const { staleAgeMs, silenceMs } = this.#settings;
    if (!this.hasClaim) return waitsSince + staleAgeMs;
    return Math.max(
      waitsSince + silenceMs,
      Math.min(this.#peerClaim.at + staleAgeMs, this.#confirmedAt + silenceMs),
    );
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
}
