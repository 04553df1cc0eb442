export {
  computeExpectedWaitMs,
  computeMaxRisk,
  drawRetryAfterMs,
  judgeWait,
} from './judge-wait.js';
export type { WaitState, WaitVerdict } from './judge-wait.js';
export { WaitingLine } from './waiting-line.js';
export type { WaitingRequest } from './waiting-line.js';
