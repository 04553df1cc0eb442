/**
 * The baseline that the product is measured against: each daemon alone ejects an upstream that
 * has failed five times in a row, in a sweep every ten seconds. A request given up unanswered
 * counts as a failure.
 */
import type { Verdict } from './evidence-pool.js';
import type { JudgementInput, SuspicionPolicy } from './suspicion-policy.js';
import type { RequestEnd } from './types.js';

const FAILURES_TO_EJECT = 5;
const SWEEP_INTERVAL_MS = 10_000;

export class ConsecutiveFailures implements SuspicionPolicy {
  readonly #failures = new Map<string, number>();

  #sweptAt = Number.NEGATIVE_INFINITY;

  recordEnd(upstreamId: string, end: RequestEnd): void {
    const failures = end === 'completed' ? 0 : (this.#failures.get(upstreamId) ?? 0) + 1;
    this.#failures.set(upstreamId, failures);
  }

  judge({ upstreamIds, now }: JudgementInput): readonly Verdict[] {
    const sweeps = now - this.#sweptAt >= SWEEP_INTERVAL_MS;
    if (sweeps) this.#sweptAt = now;
    return upstreamIds.map((upstreamId) => this.#judgeOne(upstreamId, sweeps));
  }

  #judgeOne(upstreamId: string, sweeps: boolean): Verdict {
    const score = this.#failures.get(upstreamId) ?? 0;
    const isSick = sweeps && score >= FAILURES_TO_EJECT;
    if (isSick) this.#failures.delete(upstreamId);
    return { upstreamId, scope: isSick ? 'local' : 'none', score, accusers: [] };
  }
}
