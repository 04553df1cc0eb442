/**
 * Collects the bytes of a body. They are copied into blocks, so that a body takes about as much memory
 * as it has bytes, however small the pieces are that it comes in: a piece kept as received would keep
 * the whole read buffer that it is a part of.
 */

const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 256 * 1024;

export class BodyBuffer {
  /** Called with the size of each block before it is allocated. */
  readonly #onGrow: (bytes: number) => void;

  readonly #blocks: Buffer[] = [];

  /** Free bytes at the end of the last block. */
  #room = 0;

  #bytes = 0;

  constructor(onGrow: (bytes: number) => void) {
    this.#onGrow = onGrow;
  }

  /** Number of bytes of the body. */
  get bytes(): number {
    return this.#bytes;
  }

  add(piece: Buffer): void {
    const last = this.#blocks.at(-1);
    const fitting = Math.min(piece.length, this.#room);
    if (last && fitting > 0) {
      piece.copy(last, last.length - this.#room, 0, fitting);
      this.#room -= fitting;
      this.#bytes += fitting;
    }
    if (fitting < piece.length) this.#addBlock(piece.subarray(fitting));
  }

  /** The bytes in order; nothing may be added after that. */
  finish(): readonly Buffer[] {
    const last = this.#blocks.at(-1);
    if (!last || this.#room === 0) return this.#blocks;
    return [...this.#blocks.slice(0, -1), last.subarray(0, last.length - this.#room)];
  }

  /** Each block is as large as the body so far, so that few are needed and at most half is unused. */
  #addBlock(piece: Buffer): void {
    const size = Math.max(
      piece.length,
      Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.#bytes)),
    );
    this.#onGrow(size);
    const block = Buffer.allocUnsafeSlow(size);
    piece.copy(block);
    this.#blocks.push(block);
    this.#room = size - piece.length;
    this.#bytes += piece.length;
  }
}
