/**
 * How old what a daemon knows may be, and who reads the store when that is too old.
 *
 * Load pattern: hundreds of daemons, a store that counts every call, and readers that die or are
 * turned away by the store. If every daemon read the store as soon as it heard nothing, the store
 * would be called most when it can bear it least. So each daemon knows at which moment its records
 * were last those of the store, also when peers told it, and daemons of a data centre read one
 * after the other, in the order in which all of them rank each other, each only if those before it
 * did not make the records fresh again.
 */

export type FreshnessSettings = {
  /** Age of the records at which the first daemon in rank reads the store, in milliseconds. */
  readonly firstReadMs: number;
  /** How much later each further one in rank reads, in milliseconds. */
  readonly rankStepMs: number;
  /** Ranks beyond this one read together with it, spread by chance. */
  readonly lastRank: number;
  /** Daemons that a reader asks to read as soon as the store does not answer it. */
  readonly firstHelpers: number;
  /** How long the asked ones may take before as many more are asked, in milliseconds. */
  readonly helpStepMs: number;
  /** Most daemons of a data centre that are asked: beyond that the store is down. */
  readonly mostHelpers: number;
};

/**
 * In calm the records of a follower are up to 1.2 s old: a watch of 0.7 s, a poll each 0.4 s.
 * Configurations have to be in force 2 s after they were published.
 */
export const DEFAULT_FRESHNESS_SETTINGS: FreshnessSettings = {
  firstReadMs: 1300,
  rankStepMs: 150,
  lastRank: 6,
  firstHelpers: 2,
  helpStepMs: 300,
  mostHelpers: 12,
};

/** What a peer says of its records. */
export type FreshnessClaim = {
  /** How long ago they were those of the store, in milliseconds. */
  readonly ageMs: number;
  /** The daemon that had then read the store. */
  readonly sourceId: string;
};

export class Freshness {
  readonly #selfId: string;

  readonly #settings: FreshnessSettings;

  #ownAt = Number.NEGATIVE_INFINITY;

  #heard = { at: Number.NEGATIVE_INFINITY, sourceId: '' };

  constructor(selfId: string, settings: FreshnessSettings = DEFAULT_FRESHNESS_SETTINGS) {
    this.#selfId = selfId;
    this.#settings = settings;
  }

  /** Notes that the store has just answered this daemon. */
  recordRead(now: number): void {
    this.#ownAt = now;
  }

  /** Takes in a peer's claim; a claim that goes back to this daemon's own reading is no news. */
  recordClaim({ ageMs, sourceId }: FreshnessClaim, now: number): void {
    if (sourceId === this.#selfId) return;
    const at = now - Math.max(0, ageMs);
    if (at > this.#heard.at) this.#heard = { at, sourceId };
  }

  /** What this daemon tells its peers; undefined if its records were never those of the store. */
  buildClaim(now: number): FreshnessClaim | undefined {
    const isOwn = this.#ownAt >= this.#heard.at;
    const at = isOwn ? this.#ownAt : this.#heard.at;
    if (at === Number.NEGATIVE_INFINITY) return undefined;
    return { ageMs: now - at, sourceId: isOwn ? this.#selfId : this.#heard.sourceId };
  }

  /** The daemon that had read the store when peers last vouched for the records. */
  get sourceId(): string {
    return this.#heard.sourceId;
  }

  /** Milliseconds since peers last vouched for the records. */
  getHeardAgeMs(now: number): number {
    return now - this.#heard.at;
  }

  /**
   * How many daemons a reader asks to read that the store has not answered for `awayMs`: more and
   * more while none of them vouches for the records, since the store may turn many away.
   */
  countHelpers(now: number, awayMs: number): number {
    const { firstHelpers, helpStepMs, mostHelpers } = this.#settings;
    const steps = Math.floor(Math.min(awayMs, this.getHeardAgeMs(now)) / helpStepMs);
    // A step of age is what a claim has on its way in calm.
    return Math.min(mostHelpers, firstHelpers * Math.max(1, steps));
  }

  /**
   * Whether a daemon that is no reader should read the store itself. `rank` is its place among the
   * daemons of its data centre, 0 for the first; `chance` its own draw from 0 to 1, which spreads
   * those of the last rank; `waitedMs` the time since it began to listen.
   */
  shouldRead(now: number, rank: number, chance: number, waitedMs: number): boolean {
    const { firstReadMs, rankStepMs, lastRank } = this.#settings;
    const step = rank < lastRank ? rank : lastRank + chance * lastRank;
    const ageMs = Math.min(this.getHeardAgeMs(now), waitedMs);
    return ageMs > firstReadMs + step * rankStepMs;
  }
}
