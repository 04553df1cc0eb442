/**
 * How long a daemon may rely on the keys that it knows: for a limited time from the moment at which
 * its configuration was the store's.
 *
 * Load pattern: keys are removed while the store is silent, daemons are partitioned, or VMs are
 * suspended. Every daemon stops accepting keys within the bound, whoever it can reach.
 */
import type { Clock } from '../runtime/index.js';

export type KeyLeaseSettings = {
  /** Time from the confirmation of the configuration until its keys are accepted no longer. */
  readonly durationMs: number;
  /** Age up to which an unknown key is one that the store does not have either. */
  readonly freshMs: number;
};

/** Covers the time between the last check of a key and the start of its request at an upstream. */
const MARGIN_MS = 200;
/**
 * In normal operation a lease is up to 1.45 s old: a watch call lasts 0.7 s, and its answer shows
 * what the store held when it began; followers ask again soon after that.
 */
const FRESH_MS = 1600;

/** `revocationMs` is the time from the removal of a key until no request with it may run. */
export function computeKeyLeaseSettings(revocationMs: number): KeyLeaseSettings {
  return { durationMs: Math.max(0, revocationMs - MARGIN_MS), freshMs: FRESH_MS };
}

export class KeyLease {
  readonly #settings: KeyLeaseSettings;

  readonly #clock: Clock;

  #startedAt = Number.NEGATIVE_INFINITY;

  #expectedAt = Number.NEGATIVE_INFINITY;

  /** All times are read from `clock`, which has to be an `AgingClock`. */
  constructor(settings: KeyLeaseSettings, clock: Clock) {
    this.#settings = settings;
    this.#clock = clock;
  }

  /**
   * Records that the configuration in force was the store's, or newer, at a time, and when the next
   * confirmation is expected. Confirmations may come in any order.
   */
  recordConfirmation(at: number, expectedAt: number): void {
    if (at <= this.#startedAt) return;
    this.#startedAt = at;
    this.#expectedAt = expectedAt;
  }

  /** When the configuration was last known to be the store's; -Infinity if it never was. */
  get startedAt(): number {
    return this.#startedAt;
  }

  /** Time since the configuration was last known to be the store's, in milliseconds. */
  get ageMs(): number {
    return this.#clock.now() - this.#startedAt;
  }

  get remainingMs(): number {
    return Math.max(0, this.#settings.durationMs - this.ageMs);
  }

  get durationMs(): number {
    return this.#settings.durationMs;
  }

  /** Whether keys may be accepted. */
  get isValid(): boolean {
    return this.ageMs < this.#settings.durationMs;
  }

  /** Whether a key that is not known is one that the store does not have. */
  get isFresh(): boolean {
    return this.isValid && this.ageMs < this.#settings.freshMs;
  }

  /** Time until the next confirmation is expected, in milliseconds; 0 if it is overdue. */
  get renewsInMs(): number {
    return Math.max(0, this.#expectedAt - this.#clock.now());
  }
}
