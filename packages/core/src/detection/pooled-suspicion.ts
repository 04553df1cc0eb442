/**
 * The product's own judgement: from the evidence of all daemons that dispatch the service.
 */
import { computeThreshold, judgeUpstream } from './evidence-pool.js';
import type { Verdict } from './evidence-pool.js';
import type { JudgementInput, SuspicionPolicy } from './suspicion-policy.js';

export class PooledSuspicion implements SuspicionPolicy {
  recordEnd(): void {
    // The detector's scores carry all there is to know.
  }

  judge({ upstreamIds, scores, evidence, policy }: JudgementInput): readonly Verdict[] {
    const threshold = computeThreshold(policy.detectionWeight, policy.falseEjectionWeight);
    const ownScores = new Map(scores.map((row) => [row.upstreamId, row.score]));
    return upstreamIds.map((id) =>
      judgeUpstream(
        id,
        evidence.filter((row) => row.upstreamId === id),
        ownScores.get(id) ?? 0,
        threshold,
      ),
    );
  }
}
