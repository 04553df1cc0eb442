export { computeCapacity } from './capacity.js';
export type { VmShape } from './capacity.js';
export {
  chooseDispatchers,
  chooseForCaller,
  chooseForCallers,
  rankDispatchers,
} from './choose-dispatchers.js';
export type { DispatcherCandidate } from './choose-dispatchers.js';
export { FleetRoster } from './fleet-roles.js';
export type { RosterSource } from './fleet-roles.js';
export { LoadLevel } from './advertised-load.js';
