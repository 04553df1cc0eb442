/**
 * What a dispatcher of the emulator sees, and what a policy decides.
 */
export type EmulatedRequest = {
  readonly isRepeatable: boolean;
  readonly canTryAgain: boolean;
};

/** An upstream as a dispatcher sees it. */
export type SeenUpstream = {
  readonly id: string;
  readonly slots: number;
  readonly inFlight: number;
};

/** What an attempt has shown; `at` as for trust: sending of a good one, end of a failed one. */
export type SeenOutcome = {
  readonly upstreamId: string;
  readonly isGood: boolean;
  readonly at: number;
  /** Whether it failed by not answering; false where absent. */
  readonly isSilent?: boolean;
};

export interface PlacementPolicy {
  /** Chooses an upstream with room; undefined if the request has to wait. */
  choose(
    request: EmulatedRequest,
    upstreams: readonly SeenUpstream[],
    now: number,
  ): string | undefined;
  record(outcome: SeenOutcome): void;
}
