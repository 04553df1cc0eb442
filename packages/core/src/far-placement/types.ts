/**
 * What the decision about other (far) data centres is based on, and what it results in.
 */

export type FarPlacementSettings = {
  /** Cost of a megabyte sent to or from another data centre, in answers in time. */
  readonly costPerMegabyte: number;
  /** Largest share of a dispatcher's requests to a service that may leave the data centre. */
  readonly maxShare: number;
  /** Routes with answers of this size leave only if the request would be refused otherwise. */
  readonly largeAnswerBytes: number;
};

export const DEFAULT_FAR_PLACEMENT_SETTINGS: FarPlacementSettings = {
  costPerMegabyte: 5,
  maxShare: 0.75,
  largeAnswerBytes: 32_000,
};

export const FAR_REASONS = [
  'no-near-upstream',
  'refusal-avoided',
  'wait-saved',
  'failure-avoided',
  'near-slow',
  'test',
] as const;

/** Why a request leaves its data centre. */
export type FarReason = (typeof FAR_REASONS)[number];

export type FarRequest = {
  readonly routeId: string;
  readonly bodyBytes: number;
  /** Until the target latency is exceeded, in milliseconds; negative afterwards. */
  readonly targetLeftMs: number;
  readonly timeLeftMs: number;
  /** Whether any near upstream may ever receive the request; it may have been tried at all of them. */
  readonly hasNearUpstream: boolean;
};

/** Upstreams of one service in one data centre, as this dispatcher sees them. */
export type DataCentreSlots = {
  readonly dataCentre: string;
  /** Slots of the upstreams that are trusted, reachable and not leaving. */
  readonly slots: number;
  /** Share of these slots at upstreams that are warming up after their start. */
  readonly coldShare: number;
  /** Requests of this dispatcher in flight there. */
  readonly ownInFlight: number;
  /** Whether daemons there receive requests from callers and thus report their load. */
  readonly hasDispatcher: boolean;
};

/** State of one service; it may be some milliseconds old. */
export type ServiceView = {
  readonly at: number;
  readonly dataCentres: readonly DataCentreSlots[];
};

/** The queue of the service at this dispatcher. */
export type FarQueue = { readonly waiting: number; readonly arrivalsPerMs: number };

/** The near upstream that would be chosen if the request did not leave. */
export type NearOption = { readonly failureProbability: number; readonly isCold: boolean };

/** The decision about one request. */
export interface FarJudge {
  /** Whether near upstreams are so slow that a free slot there may not be worth taking. */
  isNearSlow(): boolean;
  /** Decides whether the request may leave, given its best near upstream with a free slot. */
  judge(near: NearOption | undefined): FarVerdict | undefined;
  /** Takes note that the request stays without a comparison. */
  recordStay(): void;
}

/** Requests that another dispatcher has in flight, by the data centre of the upstream. */
export type LoadNews = {
  readonly dispatcherId: string;
  readonly dataCentre: string;
  readonly inFlight: ReadonlyMap<string, number>;
};

export type FarVerdict = {
  /** Data centres that may receive the request. */
  readonly open: ReadonlySet<string>;
  readonly reason: FarReason;
  /** Whether a far upstream is better than the near one with a free slot. */
  readonly isFarPreferred: boolean;
};
