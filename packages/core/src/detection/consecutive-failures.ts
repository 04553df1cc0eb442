/**
 * A baseline for comparison with pooled suspicion: every ten seconds each daemon, on its own,
 * ejects the upstreams whose last five requests all failed. A request abandoned without an answer
 * counts as a failure.
 */
import type { Verdict } from './evidence-pool.js';
import type { JudgementInput, SuspicionPolicy } from './suspicion-policy.js';
import type { RequestEnd } from './types.js';

const FAILURES_TO_EJECT = 5;
const SWEEP_INTERVAL_MS = 10_000;

export class ConsecutiveFailures implements SuspicionPolicy {
  readonly #failures = new Map<string, number>();

  #lastSweepAt = Number.NEGATIVE_INFINITY;

  recordEnd(upstreamId: string, end: RequestEnd): void {
    const failures = end === 'completed' ? 0 : (this.#failures.get(upstreamId) ?? 0) + 1;
    this.#failures.set(upstreamId, failures);
  }

  judge({ upstreamIds, now }: JudgementInput): readonly Verdict[] {
    const isSweepDue = now - this.#lastSweepAt >= SWEEP_INTERVAL_MS;
    if (isSweepDue) this.#lastSweepAt = now;
    return upstreamIds.map((upstreamId) => this.#judgeOne(upstreamId, isSweepDue));
  }

  #judgeOne(upstreamId: string, isSweepDue: boolean): Verdict {
    const score = this.#failures.get(upstreamId) ?? 0;
    const isUnhealthy = isSweepDue && score >= FAILURES_TO_EJECT;
    if (isUnhealthy) this.#failures.delete(upstreamId);
    return { upstreamId, scope: isUnhealthy ? 'local' : 'none', score, accusers: [] };
  }
}
