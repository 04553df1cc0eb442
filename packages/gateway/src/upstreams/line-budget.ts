/**
 * Bounds the lines of the answers to one request: status lines, headers, trailers and the sizes of chunks.
 * Bytes count as they come in, before any of them is looked at, so that no line, head or series of heads
 * costs more processor time than its budget.
 */

/** Of one head, or of the trailers of one answer. */
const MAX_HEAD_BYTES = 80 * 1024;
/** Of the size of one chunk with its extensions, which are not used. */
const MAX_CHUNK_LINE_BYTES = 1024;
/** Of all heads and trailers until a request is answered, interim answers and late ones included. */
const MAX_EXCHANGE_BYTES = 256 * 1024;
/** Interim answers and late answers to other requests that may come before the expected one. */
const MAX_ANSWERS = 100;
/** What a line costs beside its bytes, in bytes that cost as much. */
const LINE_COST_BYTES = 16;

export type LineKind = 'head' | 'trailer' | 'chunk-size';

export class LineBudget {
  #answers = 0;

  #exchangeBytes = 0;

  #partBytes = 0;

  #part: LineKind = 'head';

  /** Begins with the answers to a new request. */
  reset(): void {
    this.#answers = 0;
    this.#exchangeBytes = 0;
    this.#startPart('head');
  }

  /** Counts a further answer. Throws an error if there are too many for one request. */
  countAnswer(): void {
    this.#answers += 1;
    if (this.#answers > MAX_ANSWERS) throw new Error('too many answers to one request');
    this.#startPart('head');
  }

  /** Counts received bytes of a line. Throws an error if they exceed the budget. */
  countBytes(kind: LineKind, bytes: number, isLineEnd: boolean): void {
    if (kind !== this.#part) this.#startPart(kind);
    const cost = bytes + (isLineEnd ? LINE_COST_BYTES : 0);
    this.#partBytes += cost;
    if (kind === 'chunk-size') {
      if (this.#partBytes > MAX_CHUNK_LINE_BYTES) throw new Error('chunk size too long');
      if (isLineEnd) this.#startPart(kind);
      return;
    }
    this.#exchangeBytes += cost;
    if (this.#partBytes > MAX_HEAD_BYTES) throw new Error(`${kind} too large`);
    if (this.#exchangeBytes > MAX_EXCHANGE_BYTES) throw new Error('too many heads and trailers');
  }

  #startPart(kind: LineKind): void {
    this.#part = kind;
    this.#partBytes = 0;
  }
}
