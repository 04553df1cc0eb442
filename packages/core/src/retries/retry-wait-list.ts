/**
 * The requests of one service that were shed while the retry budget was used up, and wait for retries
 * that leave the budget's window.
 *
 * Load pattern: all upstreams of a service shed half of the requests at random for longer than the
 * budget lasts. A request refused at once returns as a new one, whose first attempt costs no budget,
 * so that to wait is better only if the retry is certain and comes soon. A request therefore waits
 * only if the budget that returns, after the requests ahead of it have taken theirs, covers it within
 * its target latency, or sooner than its caller would return after a refusal. Requests that are shed
 * later do not overtake those that wait, unless they are more urgent.
 */
import type { Clock } from '../runtime/index.js';
import type { RetryClaim, SlidingWindowRetryBudget } from './sliding-window-retry-budget.js';

export type WaitingRetry = RetryClaim & {
  readonly id: string;
  /** When the target latency of the route ends. */
  readonly targetAt: number;
  /** Latest time at which the request may be sent. */
  readonly latestSendAt: number;
  readonly expectedAttemptMs: number;
};

/** Callers honour a Retry-After up to this share of the time that they have left. */
const CALLER_WAIT_SHARE = 1 / 3;

function compareClaims(left: RetryClaim, right: RetryClaim): number {
  return (
    Number(left.isOverShare ?? false) - Number(right.isOverShare ?? false) ||
    left.shedCount - right.shedCount ||
    left.priority - right.priority
  );
}

export class RetryWaitList<Entry extends WaitingRetry> {
  readonly #budget: SlidingWindowRetryBudget;

  readonly #clock: Clock;

  /** In the order in which they get retries. */
  #entries: readonly Entry[] = [];

  constructor(budget: SlidingWindowRetryBudget, clock: Clock) {
    this.#budget = budget;
    this.#clock = clock;
  }

  get size(): number {
    return this.#entries.length;
  }

  /** Takes a retry for a request that was shed just now; returns false if there is none for it. */
  takeRetry(claim: RetryClaim): boolean {
    return this.#budget.takeRetry(claim, this.#countAhead(claim));
  }

  /** Whether a request should wait for a retry. */
  shouldWait(entry: WaitingRetry): boolean {
    return this.#isCovered(entry, this.#countAhead(entry));
  }

  add(entry: Entry): void {
    const at = this.#countAhead(entry);
    this.#entries = [...this.#entries.slice(0, at), entry, ...this.#entries.slice(at)];
  }

  remove(id: string): void {
    this.#entries = this.#entries.filter((entry) => entry.id !== id);
  }

  /** Takes retries for requests as far as there are any, and removes and returns these requests. */
  takeGranted(): readonly Entry[] {
    const firstDenied = this.#entries.findIndex((entry) => !this.#budget.takeRetry(entry));
    const count = firstDenied < 0 ? this.#entries.length : firstDenied;
    const granted = this.#entries.slice(0, count);
    if (count > 0) this.#entries = this.#entries.slice(count);
    return granted;
  }

  /** Removes and returns the requests that no retry will reach in time any more. */
  takeHopeless(): readonly Entry[] {
    const now = this.#clock.now();
    const hopeless = new Set(
      this.#entries.filter((entry, ahead) => {
        const returnMs = this.#budget.computeReturnMs(entry, ahead);
        return returnMs === undefined || now + returnMs > entry.latestSendAt;
      }),
    );
    if (hopeless.size > 0) this.#entries = this.#entries.filter((entry) => !hopeless.has(entry));
    return [...hopeless];
  }

  #countAhead(claim: RetryClaim): number {
    return this.#entries.filter((entry) => compareClaims(entry, claim) <= 0).length;
  }

  #isCovered(entry: WaitingRetry, ahead: number): boolean {
    const { targetAt, latestSendAt, expectedAttemptMs } = entry;
    const now = this.#clock.now();
    const returnMs = this.#budget.computeReturnMs(entry, ahead);
    if (returnMs === undefined || now + returnMs > latestSendAt) return false;
    const isInTime = now + returnMs + expectedAttemptMs <= targetAt;
    return isInTime || returnMs <= (latestSendAt - now) * CALLER_WAIT_SHARE;
  }
}
