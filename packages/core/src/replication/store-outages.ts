/**
 * Tells an outage of the store, in which entries of live upstreams may have expired, from trouble of a
 * daemon's own calls. An entry expires only if its upstream could not register for several intervals. A
 * call that failed shows none of that: its connection was cut, the store rejects this VM alone, or the
 * process did not run. What shows it is the time in which neither a call of this daemon nor, as far as
 * peers tell, one of any other daemon was answered.
 *
 * Load pattern: watches are cut one after the other, daemons are rejected or frozen, while upstreams go
 * on registering and leaving. A removal is then a removal, and takes effect at once.
 */
import type { Clock } from '../runtime/index.js';

export type StoreOutageSettings = {
  /** How often upstreams that are alive register, in milliseconds. */
  readonly registrationIntervalMs: number;
};

/**
 * An entry lasts three intervals, and its upstream registered at most one interval before the store fell
 * silent.
 */
const INTERVALS_UNTIL_EXPIRY = 2;
/** Above the time after which a fleet that has lost its readers hears of the store again. */
const MIN_OUTAGE_MS = 2000;
/** Upstreams that are alive register expired entries again within this time after an outage. */
const EXPIRY_GRACE_MS = 2000;
/** Several times the interval of ticks. A process that has not run for longer has observed nothing. */
const MAX_OBSERVED_STEP_MS = 1000;

export class StoreOutages {
  readonly #clock: Clock;

  readonly #minOutageMs: number;

  /** When the store last served a daemon, as far as this one knows; time without a look is left out. */
  #servedAt = Number.NEGATIVE_INFINITY;

  #observedAt: number;

  #graceUntil = Number.NEGATIVE_INFINITY;

  constructor({ registrationIntervalMs }: StoreOutageSettings, clock: Clock) {
    this.#clock = clock;
    this.#observedAt = clock.now();
    this.#minOutageMs = Math.max(MIN_OUTAGE_MS, INTERVALS_UNTIL_EXPIRY * registrationIntervalMs);
  }

  /** End of the time in which entries that expired in the last outage may be missing. */
  get graceUntil(): number {
    return this.#graceUntil;
  }

  /**
   * Whether entries may be missing that expired, or are expiring, though their upstreams live. Open, and
   * so true, until the store is known to have served any daemon.
   */
  get mayLackEntries(): boolean {
    const now = this.#refreshTime();
    return now < this.#graceUntil || now - this.#servedAt > this.#minOutageMs;
  }

  /** To be called regularly, so that time in which the process did not run is noticed. */
  runTick(): void {
    this.#refreshTime();
  }

  /** Records that the store has answered a call of this or another daemon, in milliseconds. */
  recordServed(at: number): void {
    this.#refreshTime();
    if (at <= this.#servedAt) return;
    const silentMs = at - this.#servedAt;
    const isFirst = this.#servedAt === Number.NEGATIVE_INFINITY;
    if (!isFirst && silentMs > this.#minOutageMs) this.#graceUntil = at + EXPIRY_GRACE_MS;
    this.#servedAt = at;
  }

  #refreshTime(): number {
    const now = this.#clock.now();
    const stepMs = now - this.#observedAt;
    if (stepMs > MAX_OBSERVED_STEP_MS) this.#servedAt += stepMs;
    this.#observedAt = now;
    return now;
  }
}
