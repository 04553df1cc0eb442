/**
 * Answers that were written to callers which have not taken them yet.
 *
 * Load pattern: callers that read slowly, or not at all, keep answers of hundreds of kilobytes each. This
 * costs the daemon memory, so that where memory is short the connections of those with the largest and
 * oldest answers are closed. Such a caller sees an answer that is shorter than its stated length.
 */
import type { Clock } from '@baobabline/core';

/** A caller that reads has taken its answer by then, also over a link of 7 Mbit/s that is busy. */
export const MIN_UNREAD_MS = 2000;

export type UnreadPorts = {
  /** Counts the bytes that the caller has not taken. */
  readonly countUnread: () => number;
  /** Called when the answer has to make room; closes the caller's connection. */
  readonly onEvicted: (unread: { readonly bytes: number; readonly ageMs: number }) => void;
};

/** The bytes held for one answer until its caller has taken it. */
export interface UnreadAnswer {
  /** Gives the bytes back. */
  close(): void;
}

type Entry = UnreadPorts & { readonly bytes: number; readonly writtenAt: number };

type Candidate = { readonly entry: Entry; readonly unread: number; readonly ageMs: number };

export class UnreadAnswers {
  readonly #clock: Clock;

  readonly #entries = new Set<Entry>();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Adds an answer; `onClose` is called once with its bytes when it needs them no longer. */
  add(bytes: number, ports: UnreadPorts, onClose: (bytes: number) => void): UnreadAnswer {
    const entry: Entry = { ...ports, bytes, writtenAt: this.#clock.now() };
    this.#entries.add(entry);
    return {
      close: () => {
        if (this.#entries.delete(entry)) onClose(bytes);
      },
    };
  }

  /** Bytes of answers that have been unread for so long that they may be evicted. */
  sumEvictable(): number {
    return this.#listEvictable().reduce((sum, { unread }) => sum + unread, 0);
  }

  /** Removes the answer that has cost most memory, by its unread bytes and its age. */
  takeWorst(): { readonly bytes: number; readonly evict: () => void } | undefined {
    const worst = this.#listEvictable().reduce<Candidate | undefined>(
      (best, one) => (best && best.unread * best.ageMs >= one.unread * one.ageMs ? best : one),
      undefined,
    );
    if (!worst) return undefined;
    const { entry, unread, ageMs } = worst;
    this.#entries.delete(entry);
    return { bytes: entry.bytes, evict: () => entry.onEvicted({ bytes: unread, ageMs }) };
  }

  #listEvictable(): readonly Candidate[] {
    const now = this.#clock.now();
    return [...this.#entries]
      .map((entry) => ({ entry, unread: entry.countUnread(), ageMs: now - entry.writtenAt }))
      .filter(({ unread, ageMs }) => unread > 0 && ageMs >= MIN_UNREAD_MS);
  }
}
