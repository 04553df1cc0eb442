/**
 * Bounds the bytes that a daemon holds for all requests and answers together: bodies of requests
 * until they are answered, answers while they come in, and answers until their callers have taken
 * them.
 *
 * Load pattern: a few upstreams send answers without end on many connections, beside sound ones whose
 * answers are short or end soon. Once the sum is reached, unfinished answers are cut: the largest one
 * of the upstream that holds most. An upstream at fault fails on all its connections, so that it is
 * found before a sound one that sends a single large answer.
 *
 * Where the configuration has downloads, room is reserved for their answers before they are sent, and
 * answers that callers do not read are evicted before anything else.
 */
import type { Clock } from '@baobabline/core';

import { HeldAnswer } from './held-answer.js';
import { UnreadAnswers } from './unread-answers.js';
import type { UnreadAnswer, UnreadPorts } from './unread-answers.js';

/** Unfinished answers are cut for requests only while they take more than this share of the sum. */
const MAX_ANSWER_SHARE = 0.5;
/** Answers of downloads leave this share of the sum to other requests. */
const OTHERS_SHARE = 0.25;
/** Largest share for one answer, so that it finds room beside small requests whatever is expected. */
const MAX_RESERVATION_SHARE = 0.5;

export class HeldBytes {
  readonly #maxBytes: number;

  #total = 0;

  #unfinishedBytes = 0;

  readonly #unfinished = new Set<HeldAnswer>();

  readonly #unread: UnreadAnswers;

  #mayEvictUnread = false;

  constructor(maxBytes: number, clock: Clock = { now: () => 0 }) {
    this.#maxBytes = maxBytes;
    this.#unread = new UnreadAnswers(clock);
  }

  get maxBytes(): number {
    return this.#maxBytes;
  }

  get total(): number {
    return this.#total;
  }

  /** Sets whether connections of callers that do not read are closed where memory is short. */
  setMayEvictUnread(mayEvict: boolean): void {
    this.#mayEvictUnread = mayEvict;
  }

  /** Whether bytes for the body of a request could be reserved now. */
  mayAcquire(bytes: number): boolean {
    if (this.#hasRoom(bytes) || this.#isTakenByAnswers) return true;
    return this.#hasRoom(bytes - this.#sumEvictableUnread());
  }

  /** Returns how many bytes are reserved for an answer that is expected to have so many. */
  computeReservation(bytes: number): number {
    return Math.min(bytes, Math.floor(this.#maxBytes * MAX_RESERVATION_SHARE));
  }

  /** Makes room for a reservation; returns how many bytes are missing for it. */
  evictUnreadFor(bytes: number): number {
    const missing = (): number =>
      Math.max(0, this.#total + bytes - this.#maxBytes * (1 - OTHERS_SHARE));
    this.#evictUnreadWhile(() => missing() > 0);
    return missing();
  }

  /**
   * Reserves bytes for the body of a request; returns whether there is room. Unfinished answers are
   * evicted for it only while they take up most.
   */
  acquire(bytes: number): boolean {
    this.#evictUnreadWhile(() => !this.#hasRoom(bytes));
    this.#evictWhile(() => !this.#hasRoom(bytes) && this.#isTakenByAnswers);
    if (!this.#hasRoom(bytes)) return false;
    this.#total += bytes;
    return true;
  }

  /** Adds bytes that are held in any case, such as those of a whole answer. */
  add(bytes: number): void {
    this.#total += bytes;
    this.#evictUnreadWhile(() => !this.#hasRoom(0));
    this.#evictWhile(() => !this.#hasRoom(0));
  }

  /** Adds the bytes of a whole answer until its caller has taken it. */
  addUnread(bytes: number, ports: UnreadPorts): UnreadAnswer {
    this.add(bytes);
    return this.#unread.add(bytes, ports, (closed) => this.release(closed));
  }

  /** Gives back bytes that were reserved or added. */
  release(bytes: number): void {
    this.#total -= bytes;
  }

  /**
   * Accounts for an answer that comes in, and for those of its bytes that are reserved from now on;
   * `onEvicted` is called if it has to make room.
   */
  createAnswer(upstreamId: string, onEvicted: () => void, reservedBytes = 0): HeldAnswer {
    const answer = new HeldAnswer({
      upstreamId,
      reservedBytes,
      onEvicted,
      onGrow: (bytes, unreservedBytes) => {
        this.#unfinishedBytes += bytes;
        this.add(unreservedBytes);
      },
      onClose: (closed) => {
        this.#unfinished.delete(closed);
        this.#unfinishedBytes -= closed.bytes;
        this.release(closed.heldBytes);
      },
    });
    this.#unfinished.add(answer);
    if (reservedBytes > 0) this.add(reservedBytes);
    return answer;
  }

  get #isTakenByAnswers(): boolean {
    return this.#unfinishedBytes > this.#maxBytes * MAX_ANSWER_SHARE;
  }

  #hasRoom(bytes: number): boolean {
    return this.#total + bytes <= this.#maxBytes;
  }

  #sumEvictableUnread(): number {
    return this.#mayEvictUnread ? this.#unread.sumEvictable() : 0;
  }

  #evictUnreadWhile(isNeeded: () => boolean): void {
    const worst = this.#mayEvictUnread && isNeeded() ? this.#unread.takeWorst() : undefined;
    if (!worst) return;
    this.release(worst.bytes);
    worst.evict();
    this.#evictUnreadWhile(isNeeded);
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
