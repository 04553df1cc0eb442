/**
 * What daemons tell each other about the use of accounts.
 */

/** The use of one account at one daemon, and what that daemon knows of its use over the fleet. */
export type AccountUsage = {
  /** Requests admitted since the daemon started, less those that ended without having run. */
  readonly count: number;
  /** Decaying count of its requests, those refused included. */
  readonly demand: number;
  /** Undefined if the daemon does not count what the others admit. */
  readonly fleet: FleetUsage | undefined;
};

/** The use of an account over the fleet, as a daemon knows it that counts what all admit. */
export type FleetUsage = {
  /** Tokens that are left; below zero if more were spent than had accrued. */
  readonly tokens: number;
  /** Decaying count of the requests at all daemons, those refused included. */
  readonly demand: number;
  /** Number of daemons with recent demand. */
  readonly activeDaemons: number;
  /** Requests that are admitted per second. */
  readonly ratePerSecond: number;
};

/** The daemon that reports a use, as far as it matters for it. */
export type UsageSender = {
  readonly id: string;
  /** Differs between starts of a daemon. */
  readonly startId: number;
  /** When it started, in milliseconds of this daemon's clock. */
  readonly startedAt: number;
  /** Whether nothing was heard of it for a while before this report. */
  readonly wasSilent: boolean;
  /** Whether it has begun to count lately, and so may have missed reports. */
  readonly isLearning: boolean;
};

/** The fleet as the daemon that admits a request sees it. */
export type QuotaView = {
  readonly selfId: string;
  readonly dispatcherIds: readonly string[];
  /** Whether there are daemons to which this one reports. */
  readonly hasRecipients: boolean;
  /**
   * Whether this daemon does not count what the others admit, since only dispatchers are told, and
   * follows what the dispatchers report of the fleet instead.
   */
  readonly isFollower: boolean;
  /** Number of daemons that use accounts lately, or are dispatchers. */
  readonly daemonCount: number;
  /** Time until the counts that this daemon reports are known to those that count. */
  readonly arrivalMs: number;
  /** Time until the demand that this daemon reports is known to all that use the account. */
  readonly demandArrivalMs: number;
};

export type QuotaVerdict = {
  readonly isAdmitted: boolean;
  /** Time after which a request may be admitted; 0 if this one is. */
  readonly retryAfterMs: number;
  /** Whether the others should hear of it soon. */
  readonly isUrgent: boolean;
};
