/**
 * Reports the rate limits that upstreams stated in this daemon's answers to other daemons: changes
 * almost at once, and limits in force again at intervals, for daemons that have started and for
 * datagrams that were lost. Only the daemon with the newest statement of an upstream reports it.
 */
import type { Clock, KnownRateLimit } from '@baobabline/core';

import { computeUpstreamHash } from '../reports/index.js';
import type { ReportedRateLimit } from './rate-limit-message.js';

export type UpstreamStatement = KnownRateLimit & { readonly upstreamId: string };

export type RateLimitReportsDependencies = {
  readonly clock: Clock;
  /** What upstreams stated in this daemon's answers, unless another daemon knows something newer. */
  readonly listOwnStatements: () => readonly UpstreamStatement[];
  /** Number of daemons that receive a report. */
  readonly countRecipients: () => number;
  readonly send: (limits: readonly ReportedRateLimit[]) => void;
};

const CHANGE_DELAY_MS = 10;
/** Bounds the reports about an upstream that changes its limit with each answer. */
const MIN_INTERVAL_MS = 200;
const MIN_REPEAT_INTERVAL_MS = 1000;
/** Reports are repeated less often to many daemons, so that none receives too many of them. */
const REPEAT_MS_PER_RECIPIENT = 10;
/** The end of a limit is repeated for this many intervals. */
const ENDED_LIMIT_REPEATS = 5;
/** As many as fit into one datagram. */
const MAX_LIMITS = 64;

export class RateLimitReports {
  readonly #dependencies: RateLimitReportsDependencies;

  /** Set while a changed limit waits to be reported. */
  #timer: NodeJS.Timeout | undefined;

  #sentAt = Number.NEGATIVE_INFINITY;

  constructor(dependencies: RateLimitReportsDependencies) {
    this.#dependencies = dependencies;
  }

  /** Schedules a report after an answer has changed a rate limit. */
  recordChange(): void {
    const earliestMs = this.#sentAt + MIN_INTERVAL_MS - this.#dependencies.clock.now();
    this.#timer ??= setTimeout(() => this.#send(), Math.max(CHANGE_DELAY_MS, earliestMs));
  }

  /** Repeats the report if it is due; to be called several times a second. */
  runTick(): void {
    const { clock, listOwnStatements } = this.#dependencies;
    const elapsedMs = clock.now() - this.#sentAt;
    if (elapsedMs < MIN_REPEAT_INTERVAL_MS || listOwnStatements().length === 0) return;
    if (elapsedMs >= this.#repeatIntervalMs) this.#send();
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  get #repeatIntervalMs(): number {
    const { countRecipients } = this.#dependencies;
    return Math.max(MIN_REPEAT_INTERVAL_MS, countRecipients() * REPEAT_MS_PER_RECIPIENT);
  }

  #send(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const { clock, listOwnStatements, send } = this.#dependencies;
    const now = clock.now();
    const endedLimitTtlMs = this.#repeatIntervalMs * ENDED_LIMIT_REPEATS;
    const current = [...listOwnStatements()]
      .filter(
        ({ perSecond, statedAt }) => perSecond !== undefined || now - statedAt < endedLimitTtlMs,
      )
      .sort((left, right) => right.statedAt - left.statedAt)
      .slice(0, MAX_LIMITS);
    if (current.length === 0) return;
    this.#sentAt = now;
    send(
      current.map(({ upstreamId, perSecond, statedAt }) => ({
        upstream: computeUpstreamHash(upstreamId),
        perSecond,
        ageMs: now - statedAt,
      })),
    );
  }
}
