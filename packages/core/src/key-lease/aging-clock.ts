/**
 * A clock for ages that must not be underestimated. It advances by the greater of the monotonic and
 * the wall-clock time that has passed, and never backwards.
 *
 * Load pattern: VMs are suspended, which stops the monotonic clock, and wall clocks are set. A wall
 * clock that is set forward makes ages too high, never too low.
 */
import type { Clock } from '../runtime/index.js';

/**
 * Time between two readings that both count from the same pair of readings. The wall clock counts whole
 * milliseconds; taking the greater difference of each pair of readings would add up its rounding.
 */
const ANCHOR_MS = 100;

export class AgingClock implements Clock {
  readonly #clock: Clock;

  readonly #getWallTime: () => number;

  /** The two clocks when the time of this one was `time`. */
  #anchor: { readonly at: number; readonly wallTime: number; readonly time: number };

  #time = 0;

  /** `getWallTime` returns milliseconds of the wall clock. */
  constructor(clock: Clock, getWallTime: () => number) {
    this.#clock = clock;
    this.#getWallTime = getWallTime;
    this.#anchor = { at: clock.now(), wallTime: getWallTime(), time: 0 };
  }

  /** Milliseconds since the clock was created. */
  readonly now = (): number => {
    const at = this.#clock.now();
    const wallTime = this.#getWallTime();
    const { at: anchorAt, wallTime: anchorWallTime, time } = this.#anchor;
    const passedMs = Math.max(at - anchorAt, wallTime - anchorWallTime);
    this.#time = Math.max(this.#time, time + passedMs);
    if (Math.abs(at - anchorAt) >= ANCHOR_MS || Math.abs(wallTime - anchorWallTime) >= ANCHOR_MS) {
      this.#anchor = { at, wallTime, time: this.#time };
    }
    return this.#time;
  };
}
