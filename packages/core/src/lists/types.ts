/**
 * Types of the lists that operators publish: the customers and plans, and the VM list.
 */

export type KindRule = {
  readonly name: string;
  /** Tokens of the plan's rate that one request of this kind uses. */
  readonly weight: number;
  /** Overrides the request's header and the default that only safe HTTP methods are repeatable. */
  readonly repeatable?: boolean | undefined;
};

export type ServiceRule = {
  readonly name: string;
  readonly kinds: readonly KindRule[];
  /** No upstream is ejected if that leaves the service fewer healthy slots than this. */
  readonly floorSlots: number;
  /** Cost of each second by which a detection is late, relative to `falseEjectionWeight`. */
  readonly detectionWeight: number;
  /** Cost of ejecting a healthy upstream, relative to `detectionWeight`. */
  readonly falseEjectionWeight: number;
  readonly maxBodyBytes: number;
};

export type Plan = {
  readonly id: string;
  /** Tokens per second that each customer of the plan may use across the fleet. */
  readonly ratePerSecond: number;
  /** Most tokens that a customer may use at once. */
  readonly burst: number;
  /** Relative share of a service at full capacity, compared with customers of other plans. */
  readonly share: number;
  readonly services: readonly ServiceRule[];
};

export type Customer = {
  readonly id: string;
  readonly plan: string;
};

/** Customers and plans, published together. Only the version decides which lists are newer. */
export type Lists = {
  readonly version: number;
  readonly customers: readonly Customer[];
  readonly plans: readonly Plan[];
};

/** The policy of a service, merged from all plans that name it. */
export type ServicePolicy = Omit<ServiceRule, 'kinds' | 'maxBodyBytes'> & { readonly id: string };

export type VmState = 'live' | 'leaving';

/** A VM of the list's `upstreams`. */
export type Upstream = {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly dataCentre: string;
  readonly service: string;
  readonly slots: number;
  readonly connections: number;
  readonly state: VmState;
};

/** A VM of the list's `entryVms`, on which a daemon of the fleet should run. */
export type EntryVm = {
  readonly id: string;
  readonly address: string;
  readonly peerPort: number;
  readonly callerPort: number;
  readonly dataCentre: string;
  readonly state: VmState;
};

export type VmList = {
  readonly version: number;
  readonly upstreams: readonly Upstream[];
  readonly entryVms: readonly EntryVm[];
};
