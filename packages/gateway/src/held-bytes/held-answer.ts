/**
 * The account of one answer that comes in: the bytes that are held for it, until it is whole, fails or
 * has to make room.
 */

export type HeldAnswerPorts = {
  readonly upstreamId: string;
  /** Bytes that are reserved for the answer before it comes. */
  readonly reservedBytes: number;
  /** Called with the bytes that have come, and those of them that were not reserved. */
  readonly onGrow: (bytes: number, unreservedBytes: number) => void;
  readonly onClose: (answer: HeldAnswer) => void;
  readonly onEvicted: () => void;
};

/** The bytes held for one answer that comes in. */
export class HeldAnswer {
  readonly #ports: HeldAnswerPorts;

  #bytes = 0;

  #isOpen = true;

  constructor(ports: HeldAnswerPorts) {
    this.#ports = ports;
  }

  get upstreamId(): string {
    return this.#ports.upstreamId;
  }

  /** Bytes that have come. */
  get bytes(): number {
    return this.#bytes;
  }

  /** Bytes that have come or are reserved for those to come. */
  get heldBytes(): number {
    return Math.max(this.#bytes, this.#ports.reservedBytes);
  }

  /** Adds bytes; this answer or others may be evicted for them. */
  add(bytes: number): void {
    if (!this.#isOpen) return;
    const heldBefore = this.heldBytes;
    this.#bytes += bytes;
    this.#ports.onGrow(bytes, this.heldBytes - heldBefore);
  }

  /** Gives the bytes back. */
  close(): void {
    if (!this.#isOpen) return;
    this.#isOpen = false;
    this.#ports.onClose(this);
  }

  evict(): void {
    this.close();
    this.#ports.onEvicted();
  }
}
