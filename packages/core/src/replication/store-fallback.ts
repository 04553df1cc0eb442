/**
 * Decides when a daemon whose records are stale reads the store itself.
 *
 * Load pattern: the daemons that would read next may all have lost power at the same moment, in any
 * number, while hundreds wait for one that reads. A turn for each of them, one after the other, takes
 * as long as there are daemons that are gone. Here every daemon waits a time of its own instead, which
 * ends within a fixed spread: the next in rank does not wait, and of the others few wait briefly and
 * most wait long (the times grow like the logarithm of a random number). The first one that has read
 * sends its records to the others, whose waiting ends with them.
 *
 * A daemon also says that it begins to read. While the store answers none of those that do, the
 * others begin only as far as the number of readers is allowed to grow, up to a maximum.
 */
import type { RandomSource } from '../runtime/index.js';

export type StoreFallbackSettings = {
  /** Longest wait of any daemon, in milliseconds. */
  readonly spreadMs: number;
  /** Shortest wait of a daemon that is not the next in rank. */
  readonly headStartMs: number;
  /** Longest wait of a daemon that has just started; many start together, and need longer. */
  readonly startSpreadMs: number;
  /** Daemons that may read at the same time before any of them had an answer. */
  readonly initialReaders: number;
  readonly maxReaders: number;
  /** Time after which a read without an answer has failed, and as many more may begin. */
  readonly readTimeoutMs: number;
  /** How long a daemon that said that it reads counts as a reader. */
  readonly readerLifetimeMs: number;
};

export const DEFAULT_STORE_FALLBACK_SETTINGS: StoreFallbackSettings = {
  spreadMs: 300,
  headStartMs: 50,
  startSpreadMs: 1200,
  initialReaders: 3,
  maxReaders: 6,
  readTimeoutMs: 600,
  readerLifetimeMs: 4000,
};

export type FallbackSituation = {
  /** Since when the records are stale, or from when on they will be, in milliseconds. */
  readonly staleSince: number;
  /** Whether the daemon is the next in rank after those that should read. */
  readonly isNext: boolean;
  /** Daemons that may read the store in its place, this one included. */
  readonly candidates: number;
  /** Whether the daemon has just started and never had records. */
  readonly isStarting: boolean;
};

export class StoreFallback {
  readonly #random: RandomSource;

  readonly #settings: StoreFallbackSettings;

  #draw: number;

  /** End of a further wait, because as many daemons read as may. */
  #deferredUntil = Number.NEGATIVE_INFINITY;

  #isReading = false;

  /** Latest statements of other daemons that they read, by id. */
  readonly #readers = new Map<string, number>();

  #firstReaderAt = 0;

  constructor(
    random: RandomSource,
    settings: StoreFallbackSettings = DEFAULT_STORE_FALLBACK_SETTINGS,
  ) {
    this.#random = random;
    this.#settings = settings;
    this.#draw = random.next();
  }

  /** Whether this daemon has begun to read, and its records are not fresh yet. */
  get isReading(): boolean {
    return this.#isReading;
  }

  /** Records that another daemon begins to read, or goes on without an answer. */
  recordReader(id: string, now: number): void {
    if (this.#readers.size === 0) this.#firstReaderAt = now;
    this.#readers.set(id, now);
  }

  /** Ends the wait and the read: the records are fresh again. */
  reset(): void {
    this.#draw = this.#random.next();
    this.#deferredUntil = Number.NEGATIVE_INFINITY;
    this.#isReading = false;
    this.#readers.clear();
  }

  /** When the daemon should read the store, unless its records are refreshed before. */
  computeReadAt(situation: FallbackSituation): number {
    return Math.max(situation.staleSince + this.#computeWaitMs(situation), this.#deferredUntil);
  }

  /** Whether the daemon should read the store now; once it has begun, it goes on until the reset. */
  shouldRead(situation: FallbackSituation, now: number): boolean {
    if (now < situation.staleSince) return false;
    if (this.#isReading) return true;
    if (now < this.computeReadAt(situation)) return false;
    if (this.#countReaders(now) >= this.#computeMaxReaders(now)) {
      this.#draw = this.#random.next();
      this.#deferredUntil =
        now + this.#settings.readTimeoutMs + this.#computeWaitMs({ ...situation, isNext: false });
      return false;
    }
    this.#isReading = true;
    return true;
  }

  #computeWaitMs({ isNext, candidates, isStarting }: FallbackSituation): number {
    if (isNext) return 0;
    const { spreadMs, startSpreadMs, headStartMs } = this.#settings;
    const longestMs = isStarting ? startSpreadMs : spreadMs;
    const share = 1 + Math.log(this.#draw) / Math.log(Math.max(2, candidates));
    return headStartMs + (longestMs - headStartMs) * Math.max(0, share);
  }

  #countReaders(now: number): number {
    const oldest = now - this.#settings.readerLifetimeMs;
    return [...this.#readers.values()].filter((at) => at >= oldest).length;
  }

  #computeMaxReaders(now: number): number {
    const { initialReaders, maxReaders, readTimeoutMs } = this.#settings;
    const doublings = Math.floor((now - this.#firstReaderAt) / readTimeoutMs);
    return Math.min(maxReaders, initialReaders * 2 ** doublings);
  }
}
