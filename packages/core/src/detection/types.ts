/**
 * Rows of the evidence tables.
 */

/** A request that an upstream has not answered yet. */
export type PendingRequest = {
  readonly id: string;
  readonly upstreamId: string;
  readonly kind: string;
  readonly startedAt: number;
  /** Whether it travels on a connection that no answer has come back on yet. */
  readonly freshConnection: boolean;
};

export type RequestEnd = 'completed' | 'failed' | 'abandoned';

/** What one daemon's own requests say about one upstream. */
export type UpstreamScore = {
  readonly upstreamId: string;
  /** Log-likelihood ratio against the service's other upstreams; 0 or less is no suspicion. */
  readonly score: number;
  /** Whether it answered this daemon within the last second. */
  readonly answeredRecently: boolean;
};

/** A score as told to the daemons that dispatch the same service. */
export type Evidence = UpstreamScore & {
  readonly id: string;
  readonly service: string;
  readonly reporterId: string;
  readonly reporterDataCentre: string;
};
