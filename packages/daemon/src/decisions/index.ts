export { DecisionLog } from './decision-log.js';
export type { Decision } from './decision-log.js';
