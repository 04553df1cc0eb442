export { chooseDispatchers, chooseForCallers } from './choose-dispatchers.js';
export type { DispatcherCandidate } from './choose-dispatchers.js';
