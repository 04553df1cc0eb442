/**
 * How an upstream stand-in behaves, and what can go wrong with it.
 */

export type WorkKind = {
  readonly name: string;
  readonly medianMs: number;
  /** Shape of the log-normal service time; 0.6 gives a 99th percentile of four medians. */
  readonly sigma: number;
};

export type UpstreamSettings = {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly slots: number;
  readonly seed: number;
  readonly kinds: readonly WorkKind[];
  /** Milliseconds after the start during which work takes three times as long. */
  readonly coldMs: number;
  /** Size of an answer's padding in bytes. */
  readonly answerBytes: number;
};

export const FAULT_KINDS = [
  'none',
  'stall',
  'slow',
  'errors',
  'flap',
  'crash',
  'late',
  'twice',
  'cut-short',
  'previous-answer',
  'wrong-length',
] as const;

export type FaultKind = (typeof FAULT_KINDS)[number];

export type UpstreamFault = {
  readonly kind: FaultKind;
  /** Whether health and load endpoints hide the fault. */
  readonly lyingHealth: boolean;
};

/** How often an operation, named by its key or request id, was run to the end or begun. */
export type RunCount = {
  readonly operation: string;
  readonly runs: number;
  readonly upstreamId: string;
};

/** One request that an upstream was given, for measuring when new work last came. */
export type Arrival = {
  readonly operation: string;
  /** Wall-clock milliseconds. */
  readonly at: number;
};
