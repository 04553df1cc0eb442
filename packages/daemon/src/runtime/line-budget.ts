/**
 * Bounds how many log lines are written. Under load, lines about requests that went well give way
 * first, so that what is needed to explain a failure is still there.
 */
import type { Clock } from '@baobabline/core';

/** `kept` lines tell of failures and of changes in what the daemon holds to be true. */
export type LineClass = 'ordinary' | 'kept';

/** Ordinary lines leave this share of a second's lines to the others. */
const RESERVED_SHARE = 0.5;
const MS_PER_SECOND = 1000;

export class LineBudget {
  readonly #clock: Clock;

  readonly #linesPerSecond: number;

  #left: number;

  #refilledAt: number;

  constructor(linesPerSecond: number, clock: Clock) {
    this.#clock = clock;
    this.#linesPerSecond = linesPerSecond;
    this.#left = linesPerSecond;
    this.#refilledAt = clock.now();
  }

  /** Takes a line out of the budget; returns whether it may be written. */
  take(lineClass: LineClass): boolean {
    this.#refill();
    const reserved = lineClass === 'ordinary' ? this.#linesPerSecond * RESERVED_SHARE : 0;
    if (this.#left - 1 < reserved) return false;
    this.#left -= 1;
    return true;
  }

  #refill(): void {
    const now = this.#clock.now();
    const earned = ((now - this.#refilledAt) * this.#linesPerSecond) / MS_PER_SECOND;
    this.#left = Math.min(this.#linesPerSecond, this.#left + earned);
    this.#refilledAt = now;
  }
}
