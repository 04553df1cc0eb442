/**
 * What the outgoing link of a VM still has to pass on, as far as this daemon can know it.
 *
 * The system's send buffers take megabytes per connection, so that an answer that has been written may
 * not have left the VM. The bytes written are therefore taken to leave at the rate of the link. What a
 * caller does not read stops counting here after the time in which it could have been delivered, and
 * costs only memory.
 */
import type { Clock } from '../runtime/index.js';

/** Share of the link for bodies; the rest goes to headers, framing and other daemons. */
const USABLE_SHARE = 0.9;
const BYTES_PER_MEGABIT_AND_MS = 125;
/** Later than this no caller comes back. */
const MAX_PROMISED_MS = 10_000;

export class LinkSchedule {
  readonly bytesPerMs: number;

  readonly #clock: Clock;

  #writtenBytes = 0;

  #expectedBytes = 0;

  #promisedBytes = 0;

  #updatedAt: number;

  constructor(linkMegabitsPerSecond: number, clock: Clock) {
    this.bytesPerMs = linkMegabitsPerSecond * BYTES_PER_MEGABIT_AND_MS * USABLE_SHARE;
    this.#clock = clock;
    this.#updatedAt = clock.now();
  }

  /** Bytes that were written and that the link has not passed on. */
  get writtenBytes(): number {
    this.#advance();
    return this.#writtenBytes;
  }

  /** Expected bytes of answers that are on their way to this daemon. */
  get expectedBytes(): number {
    return this.#expectedBytes;
  }

  /** Records bytes that were written to a caller or an upstream. */
  recordWritten(bytes: number): void {
    this.#advance();
    this.#writtenBytes += bytes;
  }

  /** Counts an answer that is under way to this daemon; returns what ends that. */
  expect(bytes: number): () => void {
    this.#expectedBytes += bytes;
    let isOpen = true;
    return () => {
      if (isOpen) this.#expectedBytes -= bytes;
      isOpen = false;
    };
  }

  /**
   * Takes note that a caller was told to return for an answer of so many bytes. Returns by how much
   * later than the earlier ones it should come, in milliseconds.
   */
  recordPromise(bytes: number): number {
    this.#advance();
    const delayMs = this.#promisedBytes / this.bytesPerMs;
    this.#promisedBytes = Math.min(this.#promisedBytes + bytes, MAX_PROMISED_MS * this.bytesPerMs);
    return delayMs;
  }

  #advance(): void {
    const now = this.#clock.now();
    const passed = (now - this.#updatedAt) * this.bytesPerMs;
    this.#updatedAt = now;
    this.#writtenBytes = Math.max(0, this.#writtenBytes - passed);
    this.#promisedBytes = Math.max(0, this.#promisedBytes - passed);
  }
}
