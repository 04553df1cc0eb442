/**
 * The rate limit of one upstream, as its answers state it. The newest statement holds. An answer
 * without a limit ends it only if its request was sent after the limit was stated: answers on
 * different connections may overtake each other.
 */
import type {
  KnownRateLimit,
  RateLimitChange,
  RateLimitStatement,
} from './rate-limit-statement.js';

export class UpstreamRateLimit {
  #known: KnownRateLimit = { perSecond: undefined, statedAt: Number.NEGATIVE_INFINITY };

  get known(): KnownRateLimit {
    return this.#known;
  }

  get isLimited(): boolean {
    return this.#known.perSecond !== undefined;
  }

  /**
   * Records what an answer states; returns the change, if any. Times are in milliseconds of the
   * daemon's clock: when the request was sent, and when its answer arrived.
   */
  recordStatement(
    stated: RateLimitStatement,
    sentAt: number,
    arrivedAt: number,
  ): RateLimitChange | undefined {
    if (stated === 'unreadable') return undefined;
    return this.apply({ perSecond: stated, statedAt: stated === undefined ? sentAt : arrivedAt });
  }

  /** Takes over a limit that is at least as new as the known one; returns the change, if any. */
  apply(limit: KnownRateLimit): RateLimitChange | undefined {
    const previous = this.#known;
    if (limit.statedAt < previous.statedAt) return undefined;
    this.#known = limit;
    if (limit.perSecond === previous.perSecond) return undefined;
    return { previousPerSecond: previous.perSecond, perSecond: limit.perSecond };
  }
}
