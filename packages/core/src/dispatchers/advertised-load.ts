/**
 * The load that a daemon advertises to the fleet. It is rounded down to coarse steps because every
 * change is broadcast. An increase takes effect at once, since more dispatchers may be needed; a
 * decrease takes effect only after a delay.
 */
import type { Clock } from '../runtime/index.js';
import { ArrivalRate } from '../queueing/index.js';

/** Number of steps between no load and full capacity. */
const STEPS_PER_CAPACITY = 8;
/** Traffic peaks last only seconds; the set of dispatchers should not change with each of them. */
const DECREASE_DELAY_MS = 5000;
const MS_PER_SECOND = 1000;

export class AdvertisedLoad {
  readonly #clock: Clock;

  readonly #stepSize: number;

  readonly #arrivals: ArrivalRate;

  #load = 0;

  #lastReachedAt = 0;

  /** `capacity` in requests per second. */
  constructor(capacity: number, clock: Clock) {
    this.#clock = clock;
    this.#stepSize = capacity / STEPS_PER_CAPACITY;
    this.#arrivals = new ArrivalRate(clock);
  }

  recordArrival(): void {
    this.#arrivals.recordArrival();
  }

  /**
   * Updates the advertised load and returns it, in usual requests per second; `requestWeight` is how many
   * of these a request counts for.
   */
  refresh(requestWeight = 1): number {
    const now = this.#clock.now();
    const rate = this.#arrivals.getPerMs() * MS_PER_SECOND * requestWeight;
    const load = Math.floor(rate / this.#stepSize) * this.#stepSize;
    if (load >= this.#load || now - this.#lastReachedAt > DECREASE_DELAY_MS) {
      if (load >= this.#load) this.#lastReachedAt = now;
      this.#load = load;
    }
    return this.#load;
  }
}
