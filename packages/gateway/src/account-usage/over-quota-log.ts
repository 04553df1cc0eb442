/**
 * Logs when an account begins and ceases to be over its quota, bounded in rate, and counts such
 * accounts.
 */
import type { Clock } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

type OverQuota = { readonly since: number; refusedAt: number; refused: number };

/** An account without refusals for this long is within its quota again. */
const WITHIN_QUOTA_MS = 5000;
const MAX_LINES = 20;
const LINES_WINDOW_MS = 10_000;

export class OverQuotaLog {
  readonly #clock: Clock;

  readonly #log: Pick<Log, 'info'>;

  readonly #accounts = new Map<string, OverQuota>();

  #lines = { since: Number.NEGATIVE_INFINITY, count: 0, suppressed: 0 };

  constructor(clock: Clock, log: Pick<Log, 'info'>) {
    this.#clock = clock;
    this.#log = log;
  }

  /** Number of accounts with refused requests lately. */
  get size(): number {
    return this.#accounts.size;
  }

  recordRefusal(account: string, tokens: number): void {
    const now = this.#clock.now();
    const known = this.#accounts.get(account);
    if (known) {
      known.refusedAt = now;
      known.refused += 1;
      return;
    }
    this.#accounts.set(account, { since: now, refusedAt: now, refused: 1 });
    this.#write('account-over-quota', { account, tokens: Math.floor(tokens) }, now);
  }

  runTick(): void {
    const now = this.#clock.now();
    this.#accounts.forEach(({ since, refusedAt, refused }, account) => {
      if (now < refusedAt + WITHIN_QUOTA_MS) return;
      this.#accounts.delete(account);
      const overMs = Math.round(refusedAt - since);
      this.#write('account-within-quota', { account, refused, overMs }, now);
    });
  }

  #write(event: string, fields: Readonly<Record<string, unknown>>, now: number): void {
    if (now >= this.#lines.since + LINES_WINDOW_MS) {
      this.#lines = { since: now, count: 0, suppressed: this.#lines.suppressed };
    }
    if (this.#lines.count >= MAX_LINES) {
      this.#lines.suppressed += 1;
      return;
    }
    const { suppressed } = this.#lines;
    this.#lines = { ...this.#lines, count: this.#lines.count + 1, suppressed: 0 };
    this.#log.info(event, suppressed > 0 ? { ...fields, suppressed } : fields);
  }
}
