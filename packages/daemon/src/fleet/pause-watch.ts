/**
 * Notices that the process was paused: a tick that comes late by more than a bound. From then on
 * the daemon doubts what it knows until it has heard from the fleet again.
 */
import type { Clock } from '@baobabline/core';

const MAX_LATE_MS = 1000;
const GIVE_UP_DOUBT_MS = 3000;

export class PauseWatch {
  readonly #clock: Clock;

  #tickedAt: number;

  #doubtsSince: number | undefined;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#tickedAt = clock.now();
  }

  /** Whether this daemon woke up from a pause and has not heard from anyone since. */
  get isDoubting(): boolean {
    if (this.#doubtsSince === undefined) return false;
    return this.#clock.now() - this.#doubtsSince < GIVE_UP_DOUBT_MS;
  }

  /** Notes a tick; true if it came after a pause. */
  recordTick(): boolean {
    const now = this.#clock.now();
    const wasPaused = now - this.#tickedAt > MAX_LATE_MS;
    this.#tickedAt = now;
    if (wasPaused) this.#doubtsSince = now;
    return wasPaused;
  }

  /** Whether the last tick is so long ago that a pause must be assumed before the next one. */
  isLate(): boolean {
    return this.#clock.now() - this.#tickedAt > MAX_LATE_MS;
  }

  /** Notes that a peer or the platform answered. */
  recordHeard(): void {
    this.#doubtsSince = undefined;
  }
}
