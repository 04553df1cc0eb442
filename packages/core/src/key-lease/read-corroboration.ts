/**
 * Decides whether a daemon's own reads of the store may begin its key lease. A read shows what the store
 * holds, not that this is the newest that was ever acknowledged: a store that came back from an older copy
 * holds less. A read counts by itself only where it continues a proof of the same era, since nothing is
 * lost within one. A daemon that has just started has no such proof, and after a restore nobody has.
 *
 * What counts instead is what others knew. One answer of a daemon whose own proof is of this era is
 * enough. Otherwise all that may know of something newer have to answer: some of the own data centre and
 * the readers of each other one. A lease itself may begin with any answer, as it says until when it is
 * proven; only reads wait.
 *
 * Load patterns:
 * - One daemon starts, or a data centre, while the others run: their first answer ends the wait.
 * - The whole fleet starts, and nobody knows anything: all say so, and the wait ends after a fixed time.
 * - A restore, seen by all readers at the same time: one round of questions ends the wait.
 * - A daemon was partitioned or stopped during the restore: it waits until the others answer again.
 */
import type { Clock } from '../runtime/index.js';
import type { LeaseSource, LeaseSources } from './types.js';

/** A call to the store that showed what it held. */
export type OwnRead = {
  readonly beganAt: number;
  /** When the next confirmation is expected. */
  readonly expectedAt: number;
};

type Wait = {
  /** Era of the store in which was read. */
  readonly era: number;
  readonly since: number;
  /** Daemons that have answered, by id. */
  readonly heard: ReadonlySet<string>;
  /** Whether any of them has or had a lease. */
  readonly hasWitness: boolean;
  readonly read: OwnRead;
};

/** Daemons of the own data centre that have to answer, if there are so many. */
const MIN_NEAR_ANSWERS = 2;
/** Daemons of the own data centre that are asked. */
const MAX_NEAR_QUESTIONS = 4;
/** Time from the start after which a daemon that knows of no other takes itself for the first one. */
const FIRST_DAEMON_MS = 1500;
/**
 * The same where others are known, all of which have just started. Daemons that run poll their readers
 * more often, so that one that is still unknown makes itself heard at one of them.
 */
const FIRST_FLEET_MS = 700;
/** Time after which sources that never answer are waited for no longer. */
const MAX_WAIT_MS = 10_000;

export class ReadCorroboration {
  readonly #clock: Clock;

  readonly #listSources: () => LeaseSources;

  /** Whether a daemon was heard lately that is not among the sources yet. */
  readonly #hasStranger: () => boolean;

  readonly #startedAt: number;

  #provenEra: number | undefined;

  #wait: Wait | undefined;

  constructor(clock: Clock, listSources: () => LeaseSources, hasStranger: () => boolean) {
    this.#clock = clock;
    this.#startedAt = clock.now();
    this.#listSources = listSources;
    this.#hasStranger = hasStranger;
  }

  /** Whether an own read waits for answers. */
  get isWaiting(): boolean {
    return this.#wait !== undefined;
  }

  /** The newest era in which the configuration in force was proven; undefined before the first proof. */
  get provenEra(): number | undefined {
    return this.#provenEra;
  }

  /** Whether this daemon has run long enough to have heard of daemons that ran before it. */
  get hasListened(): boolean {
    return this.#clock.now() - this.#startedAt >= FIRST_FLEET_MS && !this.#hasStranger();
  }

  /** When the wait may end without a further answer; undefined if it can't. */
  get endsAt(): number | undefined {
    if (!this.#wait || this.#wait.hasWitness) return undefined;
    const endsAt = this.#getListeningSince(this.#wait) + this.#firstDaemonMs;
    return endsAt > this.#clock.now() ? endsAt : undefined;
  }

  /** Returns whether a read counts by itself; if it does not, it is kept until others have answered. */
  acceptRead(era: number, read: OwnRead): boolean {
    const newest = Math.max(this.#provenEra ?? -Infinity, this.#wait?.era ?? -Infinity);
    if (era < newest) return false;
    if (era === this.#provenEra) return true;
    const wait = this.#wait?.era === era ? this.#wait : this.#createWait(era, read);
    this.#wait = { ...wait, read };
    return false;
  }

  /**
   * Records an answer whose configuration, or a newer one, is in force here. `provenEra` is that of the
   * answering daemon; undefined if it never had a lease.
   */
  recordAnswer(sourceId: string, askedAt: number, provenEra: number | undefined): void {
    if (provenEra !== undefined) {
      this.#provenEra = Math.max(this.#provenEra ?? -Infinity, provenEra);
    }
    const wait = this.#wait;
    if (!wait || askedAt < wait.since) return;
    const hasWitness = wait.hasWitness || provenEra !== undefined;
    this.#wait = { ...wait, hasWitness, heard: new Set([...wait.heard, sourceId]) };
  }

  /** Returns the last own read once others have corroborated it, and ends the wait. */
  takeProvenRead(): OwnRead | undefined {
    const wait = this.#wait;
    if (!wait) return undefined;
    const isOutdated = this.#provenEra !== undefined && this.#provenEra > wait.era;
    if (!isOutdated && this.#provenEra !== wait.era && !this.#hasHeardAll(wait)) return undefined;
    this.#wait = undefined;
    if (isOutdated) return undefined;
    this.#provenEra = wait.era;
    return wait.read;
  }

  /** Lists the daemons whose answers are missing. */
  listUnheard(): readonly LeaseSource[] {
    const { nearReaders, nearOthers, farReaders } = this.#listSources();
    const near = [...nearReaders, ...nearOthers].slice(0, MAX_NEAR_QUESTIONS);
    return [...near, ...farReaders].filter(({ id }) => !this.#wait?.heard.has(id));
  }

  get #firstDaemonMs(): number {
    const { nearReaders, nearOthers, farReaders } = this.#listSources();
    const isAlone = nearReaders.length + nearOthers.length + farReaders.length === 0;
    return isAlone ? FIRST_DAEMON_MS : FIRST_FLEET_MS;
  }

  #createWait(era: number, read: OwnRead): Wait {
    return { era, since: this.#clock.now(), heard: new Set(), hasWitness: false, read };
  }

  /** A daemon that has just started hears of others before its first read. */
  #getListeningSince({ since }: Wait): number {
    return this.#provenEra === undefined ? this.#startedAt : since;
  }

  #hasHeardAll(wait: Wait): boolean {
    const { since, heard, hasWitness } = wait;
    const now = this.#clock.now();
    if (now - since >= MAX_WAIT_MS) return true;
    const listenedMs = now - this.#getListeningSince(wait);
    const { nearReaders, nearOthers, farReaders } = this.#listSources();
    const near = [...nearReaders, ...nearOthers];
    if (!hasWitness && (listenedMs < this.#firstDaemonMs || this.#hasStranger())) return false;
    const nearHeard = near.filter(({ id }) => heard.has(id)).length;
    const hasFar = farReaders.every(({ id }) => heard.has(id));
    return hasFar && nearHeard >= Math.min(MIN_NEAR_ANSWERS, near.length);
  }
}
