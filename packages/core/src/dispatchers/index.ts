export { computeCapacity } from './capacity.js';
export type { VmShape } from './capacity.js';
export {
  chooseDispatchers,
  chooseForCaller,
  chooseForCallers,
  rankDispatchers,
} from './choose-dispatchers.js';
export type { DispatcherCandidate } from './choose-dispatchers.js';
export { LoadLevel } from './load-level.js';
