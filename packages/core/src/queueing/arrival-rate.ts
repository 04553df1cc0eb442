/**
 * The rate at which requests arrive, as an exponentially decaying average.
 */
import type { Clock } from '../runtime/index.js';

/** Age at which an arrival counts for about a third (1/e); traffic spikes build up within seconds. */
const TIME_CONSTANT_MS = 1000;

export class ArrivalRate {
  readonly #clock: Clock;

  #decayedCount = 0;

  #updatedAt: number;

  constructor(clock: Clock) {
    this.#clock = clock;
    this.#updatedAt = clock.now();
  }

  recordArrival(): void {
    this.#decay();
    this.#decayedCount += 1;
  }

  /** Returns the arrivals per millisecond. */
  getPerMs(): number {
    this.#decay();
    return this.#decayedCount / TIME_CONSTANT_MS;
  }

  #decay(): void {
    const now = this.#clock.now();
    this.#decayedCount *= Math.exp(-(now - this.#updatedAt) / TIME_CONSTANT_MS);
    this.#updatedAt = now;
  }
}
