export { AccountParts } from './account-parts.js';
export type { GetFleetRate } from './account-parts.js';
export { AccountShares, computeFairLevel } from './account-shares.js';
export type { AccountSharesPorts, ShareAccount } from './account-shares.js';
export { ArrivalRate } from './arrival-rate.js';
export {
  computeExpectedWaitMs,
  computeMaxFailureProbability,
  drawRetryAfterMs,
  isServable,
} from './admission.js';
export { drawStartupRetryMs } from './startup-retry.js';
export type { RemainingTime, QueueState } from './admission.js';
export type { QueuedRequest } from './queue-lane.js';
export { RequestQueue } from './request-queue.js';
export type { Wanted } from './request-queue.js';
export { drawReturnAfterShedMs, ReturnTimes } from './return-times.js';
export { ServedShares } from './served-shares.js';
export { WaitJudge } from './wait-judge.js';
export type { RefusalReason, WaitVerdict, YieldReason } from './wait-judge.js';
