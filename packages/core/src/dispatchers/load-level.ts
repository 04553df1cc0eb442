/**
 * What a daemon tells the fleet of its load: coarse steps, since each change is told to everybody.
 * A rise counts at once, as further dispatchers are needed; a fall only once it has lasted.
 */
import type { Clock } from '../runtime/index.js';
import { ArrivalRate } from '../queueing/index.js';

/** Steps into which the capacity is cut. */
const STEPS = 8;
/** Waves come and go within seconds; dispatchers that change with each of them help nobody. */
const HOLD_MS = 5000;
const MS_PER_SECOND = 1000;

export class LoadLevel {
  readonly #clock: Clock;

  readonly #stepSize: number;

  readonly #arrivals: ArrivalRate;

  #level = 0;

  #reachedAt = 0;

  /** `capacity` in requests a second. */
  constructor(capacity: number, clock: Clock) {
    this.#clock = clock;
    this.#stepSize = capacity / STEPS;
    this.#arrivals = new ArrivalRate(clock);
  }

  recordArrival(): void {
    this.#arrivals.recordArrival();
  }

  /** The load as it is told, in requests a second. */
  refresh(): number {
    const now = this.#clock.now();
    const rate = this.#arrivals.getPerMs() * MS_PER_SECOND;
    const level = Math.floor(rate / this.#stepSize) * this.#stepSize;
    if (level >= this.#level || now - this.#reachedAt > HOLD_MS) {
      if (level >= this.#level) this.#reachedAt = now;
      this.#level = level;
    }
    return this.#level;
  }
}
