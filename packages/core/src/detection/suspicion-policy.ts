/**
 * The interface of a suspicion policy, which decides which upstreams of a service are unhealthy.
 */
import type { ServicePolicy } from '../lists/index.js';
import type { Verdict } from './evidence-pool.js';
import type { Evidence, RequestEnd, UpstreamScore } from './types.js';

export type JudgementInput = {
  readonly upstreamIds: readonly string[];
  readonly scores: readonly UpstreamScore[];
  readonly evidence: readonly Evidence[];
  readonly policy: ServicePolicy;
  readonly now: number;
};

export interface SuspicionPolicy {
  recordEnd(upstreamId: string, end: RequestEnd): void;
  judge(input: JudgementInput): readonly Verdict[];
}
