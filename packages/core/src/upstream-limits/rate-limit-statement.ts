/**
 * What an answer of an upstream states about its rate limit: how many requests a second the upstream
 * takes from the whole fleet.
 */

/**
 * Requests per second, 0 or more; undefined if the answer states no limit. 'unreadable' if it states
 * one that is not a decimal number, which neither sets, changes nor ends a limit.
 */
export type RateLimitStatement = number | 'unreadable' | undefined;

/** The rate limit of an upstream as a daemon knows it. */
export type KnownRateLimit = {
  /** Requests per second from the whole fleet; undefined if there is no limit. */
  readonly perSecond: number | undefined;
  /** In milliseconds of the daemon's clock, when the upstream is known to have stated this. */
  readonly statedAt: number;
};

/** A change of an upstream's rate limit, in requests per second; undefined stands for no limit. */
export type RateLimitChange = {
  readonly previousPerSecond: number | undefined;
  readonly perSecond: number | undefined;
};
