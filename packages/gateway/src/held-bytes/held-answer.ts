/**
 * The account of one answer that comes in: the bytes that are held for it, until it is whole, fails or
 * has to make room.
 */

export type HeldAnswerPorts = {
  readonly upstreamId: string;
  readonly onGrow: (bytes: number) => void;
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

  get bytes(): number {
    return this.#bytes;
  }

  /** Adds bytes; this answer or others may be evicted for them. */
  add(bytes: number): void {
    if (!this.#isOpen) return;
    this.#bytes += bytes;
    this.#ports.onGrow(bytes);
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
