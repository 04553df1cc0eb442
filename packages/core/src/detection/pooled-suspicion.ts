/**
 * The `pooled` policy: judges upstreams by the evidence of all daemons that dispatch the service.
 */
import { computeThreshold, judgeUpstream } from './evidence-pool.js';
import type { Verdict } from './evidence-pool.js';
import type { JudgementInput, SuspicionPolicy } from './suspicion-policy.js';

export class PooledSuspicion implements SuspicionPolicy {
  recordEnd(): void {
    // Nothing to record: the scores of the outlier detector already include every request.
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
