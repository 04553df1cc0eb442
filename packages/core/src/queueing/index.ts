export { ArrivalRate } from './arrival-rate.js';
export {
  computeExpectedWaitMs,
  computeMaxFailureProbability,
  drawRetryAfterMs,
  checkAdmission,
} from './admission.js';
export type { RemainingTime, QueueState, AdmissionDecision } from './admission.js';
export { drawStartupRetryMs } from './startup-retry.js';
export { RequestQueue } from './request-queue.js';
export type { QueuedRequest } from './request-queue.js';
