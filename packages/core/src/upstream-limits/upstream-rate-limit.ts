/**
 * The rate limit of one upstream, as its answers state it, and this daemon's share of it.
 *
 * The newest statement holds. An answer without a limit ends it only if its request was sent after
 * the limit was stated: answers on different connections may overtake each other.
 *
 * Requests are permitted by a token bucket that holds one token and starts empty, so that daemons
 * that learn of a limit together, or wait for it together, do not send together.
 */
import { refillBucket } from '../limits/index.js';
import type { BucketRate, TokenBucket } from '../limits/index.js';
import type {
  KnownRateLimit,
  RateLimitChange,
  RateLimitStatement,
} from './rate-limit-statement.js';

/**
 * An upstream that takes no requests at all would never be asked whether this still holds. The whole
 * fleet asks it at this rate.
 */
const MIN_REQUESTS_PER_SECOND = 0.1;
const BURST = 1;
const MS_PER_SECOND = 1000;

export class UpstreamRateLimit {
  #known: KnownRateLimit = { perSecond: undefined, statedAt: Number.NEGATIVE_INFINITY };

  #isOwn = false;

  #bucket: TokenBucket = { id: '', tokens: 0, updatedAt: Number.NEGATIVE_INFINITY };

  #rate: BucketRate = { ratePerSecond: 0, burst: BURST };

  get known(): KnownRateLimit {
    return this.#known;
  }

  /** What this daemon's own answers stated last, if no newer statement is known. */
  get ownStatement(): KnownRateLimit | undefined {
    return this.#isOwn ? this.#known : undefined;
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
    if (stated === undefined && !this.isLimited) return undefined;
    const statedAt = stated === undefined ? sentAt : arrivedAt;
    return this.#accept({ perSecond: stated, statedAt }, true);
  }

  /** Applies what another daemon reports, if it is newer; returns the change, if any. */
  applyReport(limit: KnownRateLimit): RateLimitChange | undefined {
    return this.#accept(limit, false);
  }

  /** Whether a request may be sent now, given this daemon's share of the limit from 0 to 1. */
  mayStart(share: number, now: number): boolean {
    if (!this.isLimited) return true;
    this.#refill(share, now);
    return share > 0 && this.#bucket.tokens >= BURST;
  }

  /** Takes the permit for a request that is sent now. */
  recordStart(share: number, now: number): void {
    if (!this.isLimited) return;
    this.#refill(share, now);
    this.#bucket = { ...this.#bucket, tokens: this.#bucket.tokens - 1 };
  }

  /** Requests per millisecond that this daemon may send with a share; undefined without a limit. */
  computeRatePerMs(share: number): number | undefined {
    const { perSecond } = this.#known;
    if (perSecond === undefined) return undefined;
    return (Math.max(perSecond, MIN_REQUESTS_PER_SECOND) * share) / MS_PER_SECOND;
  }

  #accept(limit: KnownRateLimit, isOwn: boolean): RateLimitChange | undefined {
    const previous = this.#known;
    if (limit.statedAt < previous.statedAt) return undefined;
    this.#known = limit;
    this.#isOwn = isOwn;
    if (limit.perSecond === previous.perSecond) return undefined;
    if (previous.perSecond === undefined) {
      this.#bucket = { id: '', tokens: 0, updatedAt: limit.statedAt };
      this.#rate = { ratePerSecond: 0, burst: BURST };
    }
    return { previousPerSecond: previous.perSecond, perSecond: limit.perSecond };
  }

  /** Time earns tokens at the rate that was in force while it passed. */
  #refill(share: number, now: number): void {
    this.#bucket = refillBucket(this.#bucket, this.#rate, now);
    const ratePerSecond = (this.computeRatePerMs(share) ?? 0) * MS_PER_SECOND;
    this.#rate = { ratePerSecond, burst: BURST };
  }
}
