/**
 * Types of outlier detection: the requests it observes and the scores that daemons exchange.
 */

/** A request that an upstream has not answered yet. */
export type PendingRequest = {
  readonly id: string;
  readonly upstreamId: string;
  readonly kind: string;
  readonly startedAt: number;
  /** Whether no answer has yet come back on its connection. */
  readonly freshConnection: boolean;
};

export type RequestEnd = 'completed' | 'failed' | 'abandoned';

/** Suspicion of one upstream, computed from the requests of one daemon. */
export type UpstreamScore = {
  readonly upstreamId: string;
  /** Log-likelihood ratio against the service's other upstreams; 0 or less means no suspicion. */
  readonly score: number;
  /** Whether the upstream answered this daemon within the last second. */
  readonly answeredRecently: boolean;
};

/** A score as sent to the other daemons that dispatch the same service. */
export type Evidence = UpstreamScore & {
  readonly id: string;
  readonly service: string;
  readonly reporterId: string;
  readonly reporterDataCentre: string;
};
