/**
 * When refused requests of an account may come back. Load pattern: a flood whose callers all retry.
 * If all were told the time of the next token, all but one of them would be refused again, so they
 * are told successive times. Every second token that this daemon expects is left to requests that
 * come for the first time, which cannot be told from those that come back.
 */

/** Later times mean little to callers, and would be out of date when a flood is over. */
const MAX_RETRY_MS = 10_000;
/** A daemon whose share is used up may go on after a round of reports. */
const MIN_RETRY_MS = 60;
const TOKENS_PER_RETRY = 2;

export type TokenOutlook = {
  /** Tokens that are left over the fleet. */
  readonly tokens: number;
  /** Tokens that accrue per millisecond over the fleet. */
  readonly refillPerMs: number;
  /** Part of the tokens that this daemon uses, from 0 to 1. */
  readonly share: number;
};

export class RetryTimes {
  #lastAt = Number.NEGATIVE_INFINITY;

  /** Takes the next time at which a token is expected; returns the milliseconds until then. */
  take({ tokens, refillPerMs, share }: TokenOutlook, now: number): number {
    const latest = now + MAX_RETRY_MS;
    const readyMs = refillPerMs > 0 ? Math.max(0, 1 - tokens) / refillPerMs : MAX_RETRY_MS;
    const spacingMs = TOKENS_PER_RETRY / Math.max(refillPerMs * share, 1 / MAX_RETRY_MS);
    const at = Math.max(now + Math.max(MIN_RETRY_MS, readyMs), this.#lastAt + spacingMs);
    this.#lastAt = Math.min(at, latest);
    return this.#lastAt - now;
  }
}
