/**
 * What a review of a routing configuration finds before it is published. Places and texts name routes,
 * services and accounts, and never a key or its digest.
 */

/**
 * `error`: daemons refuse the configuration, or never put it in force. `dead-entry`: an entry without
 * effect. `contradiction`: limits that cannot all have an effect.
 */
export type FindingKind = 'error' | 'dead-entry' | 'contradiction';

export type Finding = {
  readonly kind: FindingKind;
  /** What it is about, such as `route read`. */
  readonly place: string;
  readonly message: string;
};

/** A difference from the configuration in force. */
export type Difference = {
  readonly place: string;
  readonly change: 'added' | 'removed' | 'changed';
  /** The fields that differ, with their values before and after. */
  readonly fields: Readonly<Record<string, readonly [before: string, after: string]>>;
};

export type ConfigurationReview = {
  readonly findings: readonly Finding[];
  readonly differences: readonly Difference[];
};
