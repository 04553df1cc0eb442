/**
 * The operators' two lists and the VM list, as the daemons read them.
 */

export type KindRule = {
  readonly name: string;
  /** How much of the plan's rate one request of this kind uses. */
  readonly weight: number;
  /** Overrides the rule that safe HTTP methods alone are repeatable. */
  readonly repeatable?: boolean | undefined;
};

export type ServiceRule = {
  readonly name: string;
  readonly kinds: readonly KindRule[];
  /** Healthy slots below which no upstream of the service is ejected. */
  readonly floorSlots: number;
  /** What a second of late detection costs, relative to `falseEjectionWeight`. */
  readonly detectionWeight: number;
  /** What a wrongly ejected upstream costs, relative to `detectionWeight`. */
  readonly falseEjectionWeight: number;
  readonly maxBodyBytes: number;
};

export type Plan = {
  readonly id: string;
  /** Weight units a second that each customer of the plan may use, fleet-wide. */
  readonly ratePerSecond: number;
  /** Weight units that a customer may use at once. */
  readonly burst: number;
  /** Share of a full service relative to the customers of other plans. */
  readonly share: number;
  readonly services: readonly ServiceRule[];
};

export type Customer = {
  readonly id: string;
  readonly plan: string;
};

/** The two lists as one publication. Only the version orders publications. */
export type Lists = {
  readonly version: number;
  readonly customers: readonly Customer[];
  readonly plans: readonly Plan[];
};

/** What holds for a service over all plans that name it. */
export type ServicePolicy = Omit<ServiceRule, 'kinds' | 'maxBodyBytes'> & { readonly id: string };

export type VmState = 'live' | 'leaving';

/** A row of the VM list with role `upstream`. */
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

/** A row of the VM list with role `entry`: where a daemon of the fleet should run. */
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
