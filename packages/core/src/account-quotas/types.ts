/**
 * What daemons tell each other about the use of accounts.
 */

/** The use of one account at one daemon. */
export type AccountUsage = {
  /** Requests admitted since the daemon started, less those that ended without having run. */
  readonly count: number;
  /** Decaying count of its requests, those refused included. */
  readonly demand: number;
  /** Tokens that it believes are left over the fleet; undefined while it does not know. */
  readonly tokens: number | undefined;
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
};

/** The fleet as the daemon that admits a request sees it. */
export type QuotaView = {
  readonly selfId: string;
  readonly dispatcherIds: readonly string[];
  /** Whether there are daemons to which this one reports. */
  readonly hasRecipients: boolean;
};

export type QuotaVerdict = {
  readonly isAdmitted: boolean;
  /** Time after which a request may be admitted; 0 if this one is. */
  readonly retryAfterMs: number;
  /** Whether the others should hear of it soon. */
  readonly isUrgent: boolean;
};
