export {
  computeCapacity,
  computeRequestWeight,
  CUT_OFF_CAPACITY,
  LEASE_LOST_CAPACITY,
} from './capacity.js';
export type { VmResources } from './capacity.js';
export {
  chooseDispatchers,
  chooseDispatchersForCaller,
  chooseDispatchersWithFallback,
  rankDispatchers,
} from './choose-dispatchers.js';
export type { DispatcherCandidate } from './choose-dispatchers.js';
export { FleetRoles } from './fleet-roles.js';
export type { FleetRolesPorts } from './fleet-roles.js';
export { RequestBytes } from './request-bytes.js';
export { AdvertisedLoad } from './advertised-load.js';
