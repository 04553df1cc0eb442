export { AgingClock } from './aging-clock.js';
export { computeKeyLeaseSettings, KeyLease } from './key-lease.js';
export type { KeyLeaseSettings } from './key-lease.js';
export { chooseLeaseSources } from './choose-lease-sources.js';
export { LeaseRenewal } from './lease-renewal.js';
export type { LeaseRenewalPorts } from './lease-renewal.js';
export type { LeaseAnswer, LeaseSource, LeaseSources } from './types.js';
