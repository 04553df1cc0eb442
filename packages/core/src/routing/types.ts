/**
 * Rows of the routing tables.
 */

/** One of the requests that an upstream can run at the same time. */
export type Slot = {
  readonly id: string;
  readonly upstreamId: string;
  readonly index: number;
};

/** A slot and the daemon that alone sends work into it. */
export type SlotAssignment = Slot & { readonly ownerId: string };

/** A daemon as placement sees it. */
export type Placeable = {
  readonly id: string;
  readonly dataCentre: string;
};

/** How willing a daemon is to use an upstream; lower is better. */
export type UpstreamStanding = 'healthy' | 'doubtful' | 'trial' | 'barred';

/** A request that waits for a slot. */
export type Ticket = {
  readonly requestId: string;
  readonly customer: string;
  /** Share of the customer's plan; a customer with twice the share waits half as long. */
  readonly share: number;
  readonly weight: number;
  /** Monotonic milliseconds after which the ticket is worthless. */
  readonly deadline: number;
  readonly repeatable: boolean;
  readonly excludedUpstreams: readonly string[];
};

/** Slots of other upstreams that were not chosen, and why. */
export type PassedOver = {
  readonly reason: 'busy' | 'excluded' | 'barred' | 'ranked-lower';
  readonly slots: readonly string[];
};
