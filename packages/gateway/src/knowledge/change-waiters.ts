/**
 * Calls of peers that wait for the next change of the records.
 */
import type { Changes, Replica } from '@baobabline/core';

/** Changes that follow each other closely are told in one answer. */
const GATHER_MS = 50;

export class ChangeWaiters {
  readonly #replica: Replica;

  #waiters: readonly (() => void)[] = [];

  #timer: NodeJS.Timeout | undefined;

  constructor(replica: Replica) {
    this.#replica = replica;
  }

  /** Resolves with the changes after a revision, once there are any or the time is up. */
  async wait(revision: number, waitMs: number): Promise<Changes> {
    if (this.#replica.revision <= revision) await this.#waitForNews(waitMs);
    return this.#replica.listChangesSince(revision);
  }

  /** Answers the waiting calls soon. */
  announce(): void {
    this.#timer ??= setTimeout(() => this.releaseAll(), GATHER_MS);
  }

  /** Answers the waiting calls now. */
  releaseAll(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const waiters = this.#waiters;
    this.#waiters = [];
    waiters.forEach((release) => release());
  }

  async #waitForNews(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.#waiters = [
        ...this.#waiters,
        () => {
          clearTimeout(timer);
          resolve();
        },
      ];
    });
  }
}
