export { FleetKeyLease } from './fleet-key-lease.js';
export type { FleetKeyLeaseDependencies } from './fleet-key-lease.js';
