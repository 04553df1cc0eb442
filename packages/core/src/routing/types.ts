/**
 * Types of routing: slots, their owners, the health of upstreams and requests for a slot.
 */

/** Room for one request at an upstream. An upstream has as many slots as it runs requests at once. */
export type Slot = {
  readonly id: string;
  readonly upstreamId: string;
  readonly index: number;
};

/** A slot and its owner, the only daemon that sends requests to it. */
export type SlotAssignment = Slot & { readonly ownerId: string };

/** A daemon and its data centre, which is what placement needs to know about it. */
export type DaemonLocation = {
  readonly id: string;
  readonly dataCentre: string;
};

/**
 * How this daemon may use an upstream. `healthy`: without limits. `suspect`: only if no other slot
 * is free, because the floor of the service needs its capacity. `trial`: for repeatable requests.
 * `barred`: not at all.
 */
export type UpstreamHealth = 'healthy' | 'suspect' | 'trial' | 'barred';

/** What a slot pool needs to know about a request that asks for a slot. */
export type SlotRequest = {
  readonly requestId: string;
  readonly customer: string;
  /** Weight of the customer in the fair queue, from its plan: twice the share, half the wait. */
  readonly share: number;
  /** Cost of the request, which counts against the customer's share. */
  readonly weight: number;
  /** Monotonic time in milliseconds after which the request no longer needs a slot. */
  readonly deadline: number;
  readonly repeatable: boolean;
  readonly excludedUpstreams: readonly string[];
};

/** Ids of slots at other upstreams that were not chosen, and why. */
export type PassedOver = {
  readonly reason: 'busy' | 'excluded' | 'barred' | 'ranked-lower';
  readonly slots: readonly string[];
};
