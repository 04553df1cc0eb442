/**
 * Counts the requests of an account that the fleet has admitted within the window of its quota, and
 * tells how many more the quota allows there.
 *
 * Load pattern: an account sends twice its rate for some seconds. A token bucket alone would admit its
 * rate and burst once, and refuse requests which the operators' bound of any window allows. While all
 * daemons hear each other, each may go on up to the quota of a whole window and half of the overshoot;
 * the other half and the slack remain for what is admitted before it is reported.
 */
import type { BucketRate } from '../limits/index.js';
import type { QuotaBounds } from './quota-limits.js';

type Slice = { readonly startedAt: number; readonly count: number };

const SLICES_PER_WINDOW = 50;
/** Part of the overshoot that is used on purpose. */
const USED_OVERSHOOT = 0.5;
const MS_PER_SECOND = 1000;

export class WindowUse {
  readonly #windowMs: number;

  /** Requests admitted, oldest first. */
  #slices: readonly Slice[] = [];

  constructor(windowMs: number) {
    this.#windowMs = windowMs;
  }

  /** Records admitted requests; negative ones are given back. */
  record(count: number, now: number): void {
    const last = this.#slices.at(-1);
    if (last && now < last.startedAt + this.#windowMs / SLICES_PER_WINDOW) {
      this.#slices = [...this.#slices.slice(0, -1), { ...last, count: last.count + count }];
      return;
    }
    this.#slices = [...this.#listCurrent(now), { startedAt: now, count }];
  }

  /** Returns how many more requests may be admitted now; below zero if it were too many. */
  computeLeft(
    { ratePerSecond, burst }: BucketRate,
    { overshoot }: QuotaBounds,
    now: number,
  ): number {
    const quota = (ratePerSecond * this.#windowMs) / MS_PER_SECOND + burst;
    const used = this.#listCurrent(now).reduce((sum, { count }) => sum + count, 0);
    return quota * (1 + overshoot * USED_OVERSHOOT) - used;
  }

  /** A slice counts until its last request has left the window. */
  #listCurrent(now: number): readonly Slice[] {
    const oldest = now - this.#windowMs - this.#windowMs / SLICES_PER_WINDOW;
    return this.#slices.filter(({ startedAt }) => startedAt > oldest);
  }
}
