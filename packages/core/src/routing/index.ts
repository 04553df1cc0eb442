export {
  assignSlots,
  chooseOwners,
  chooseAcrossDataCentres,
  computeOwnerCount,
  listSlots,
} from './choose-owners.js';
export { createSlotChooser, ROUTING_POLICIES } from './routing-policies.js';
export type { RoutingPolicyName } from './routing-policies.js';
export type { LoadView, SlotChooser } from './slot-chooser.js';
export { SlotPool } from './slot-pool.js';
export type { GrantHandler, SlotGrant, SlotPoolPorts } from './slot-pool.js';
export type {
  PassedOver,
  DaemonLocation,
  Slot,
  SlotAssignment,
  SlotRequest,
  UpstreamHealth,
} from './types.js';
