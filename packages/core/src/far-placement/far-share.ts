/**
 * The share of requests that may leave the data centre.
 *
 * Load pattern: load that hovers around the capacity. Decided request by request, all of them would
 * leave at one moment and none at the next, and the other data centre would be flooded before its
 * reports show it. The share moves by a bounded rate towards what pays, starts only when leaving
 * clearly pays, and each request that leaves spends credit that arrivals have earned.
 */

/** Bounds of the change of the share per second. A spike to 2.5 times the load needs 0.6 soon. */
const MAX_RISE_PER_SECOND = 1;
const MAX_FALL_PER_SECOND = 0.4;
/** Net gain, in answers in time, from which requests start to leave. */
const START_GAIN = 0.04;
/** Net gain at which the share rises up to its maximum. */
const FULL_GAIN = 0.2;
/**
 * What one request called for holds for this long, against requests that need not leave: with a queue
 * at its limit, some arrivals find it just below.
 */
const HOLD_MS = 300;
/** Credit that can be saved up, in requests. */
const MAX_CREDIT = 3;
/** Time after which a pause counts no further, so that the share does not jump after it. */
const MAX_STEP_MS = 250;
const MS_PER_SECOND = 1000;

export class FarShare {
  readonly #maxShare: number;

  #share = 0;

  #credit = 0;

  #updatedAt: number;

  #held = { at: Number.NEGATIVE_INFINITY, wanted: 0 };

  constructor(maxShare: number, now: number) {
    this.#maxShare = maxShare;
    this.#updatedAt = now;
  }

  /** The share of arrivals that may leave now, from 0 to 1. */
  get value(): number {
    return this.#share;
  }

  get hasCredit(): boolean {
    return this.#credit >= 1;
  }

  recordArrival(): void {
    this.#credit = Math.min(MAX_CREDIT, this.#credit + this.#share);
  }

  spend(): void {
    this.#credit = Math.max(0, this.#credit - 1);
  }

  /** Moves the share towards what the net gain of a request that leaves now calls for. */
  refresh(netGain: number, now: number): void {
    const seconds = Math.min(MAX_STEP_MS, now - this.#updatedAt) / MS_PER_SECOND;
    this.#updatedAt = now;
    const hasStarted = this.#share > 0;
    const isWanted = netGain > (hasStarted ? 0 : START_GAIN);
    const wanted = isWanted ? Math.min(1, netGain / FULL_GAIN) * this.#maxShare : 0;
    const hasHeld = now - this.#held.at < HOLD_MS && this.#held.wanted > wanted;
    if (!hasHeld) this.#held = { at: now, wanted };
    const change = this.#held.wanted - this.#share;
    this.#share += Math.min(
      MAX_RISE_PER_SECOND * seconds,
      Math.max(-MAX_FALL_PER_SECOND * seconds, change),
    );
  }
}
