/**
 * Bounds the bytes that a daemon holds for all requests and answers together: bodies of requests
 * until they are answered, answers while they come in, and answers until their callers have taken
 * them.
 *
 * Load pattern: a few upstreams send answers without end on many connections, beside sound ones whose
 * answers are short or end soon. Once the sum is reached, unfinished answers are cut: the largest one
 * of the upstream that holds most. An upstream at fault fails on all its connections, so that it is
 * found before a sound one that sends a single large answer.
 */

import { HeldAnswer } from './held-answer.js';

/** Unfinished answers are cut for requests only while they take more than this share of the sum. */
const MAX_ANSWER_SHARE = 0.5;

export class HeldBytes {
  readonly #maxBytes: number;

  #total = 0;

  #unfinishedBytes = 0;

  readonly #unfinished = new Set<HeldAnswer>();

  constructor(maxBytes: number) {
    this.#maxBytes = maxBytes;
  }

  get total(): number {
    return this.#total;
  }

  /** Whether bytes for the body of a request could be reserved now. */
  mayAcquire(bytes: number): boolean {
    return this.#hasRoom(bytes) || this.#isTakenByAnswers;
  }

  /**
   * Reserves bytes for the body of a request; returns whether there is room. Unfinished answers are
   * evicted for it only while they take up most.
   */
  acquire(bytes: number): boolean {
    this.#evictWhile(() => !this.#hasRoom(bytes) && this.#isTakenByAnswers);
    if (!this.#hasRoom(bytes)) return false;
    this.#total += bytes;
    return true;
  }

  /** Adds bytes that are held in any case, such as those of a whole answer. */
  add(bytes: number): void {
    this.#total += bytes;
    this.#evictWhile(() => !this.#hasRoom(0));
  }

  /** Gives back bytes that were reserved or added. */
  release(bytes: number): void {
    this.#total -= bytes;
  }

  /** Accounts for an answer that comes in; `onEvicted` is called if it has to make room. */
  createAnswer(upstreamId: string, onEvicted: () => void): HeldAnswer {
    const answer = new HeldAnswer({
      upstreamId,
      onEvicted,
      onGrow: (bytes) => {
        this.#unfinishedBytes += bytes;
        this.add(bytes);
      },
      onClose: (closed) => {
        this.#unfinished.delete(closed);
        this.#unfinishedBytes -= closed.bytes;
        this.release(closed.bytes);
      },
    });
    this.#unfinished.add(answer);
    return answer;
  }

  get #isTakenByAnswers(): boolean {
    return this.#unfinishedBytes > this.#maxBytes * MAX_ANSWER_SHARE;
  }

  #hasRoom(bytes: number): boolean {
    return this.#total + bytes <= this.#maxBytes;
  }

  #evictWhile(isNeeded: () => boolean): void {
    const answer = isNeeded() ? this.#findLargest() : undefined;
    if (!answer) return;
    answer.evict();
    this.#evictWhile(isNeeded);
  }

  /** The largest answer of the upstream whose unfinished answers hold most. */
  #findLargest(): HeldAnswer | undefined {
    const sums = new Map<string, number>();
    this.#unfinished.forEach(({ upstreamId, bytes }) =>
      sums.set(upstreamId, (sums.get(upstreamId) ?? 0) + bytes),
    );
    return [...this.#unfinished]
      .filter(({ bytes }) => bytes > 0)
      .reduce<HeldAnswer | undefined>((largest, answer) => {
        if (!largest) return answer;
        const sum = sums.get(answer.upstreamId) ?? 0;
        const largestSum = sums.get(largest.upstreamId) ?? 0;
        const isLarger = sum > largestSum || (sum === largestSum && answer.bytes > largest.bytes);
        return isLarger ? answer : largest;
      }, undefined);
  }
}
