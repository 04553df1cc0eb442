export { AttemptTimes } from './attempt-times.js';
export { FarRouting } from './far-routing.js';
export type { FarTraffic } from './far-routing.js';
export { LeavingStarts } from './leaving-starts.js';
export { PeerLoads } from './peer-loads.js';
export type { DownloadControl, DownloadRefusal } from './download-control.js';
export type { CrashGuard, LostRequest } from './crash-guard.js';
export { computeRequestFingerprint } from './request-fingerprint.js';
export { listOnwardHeaders } from './request-head.js';
export { RequestRun } from './request-run.js';
export type { ServiceOverload } from './service-queue-types.js';
export { ServiceScheduler } from './service-scheduler.js';
export type { ServiceSchedulerDependencies, JudgedAnswer } from './service-scheduler.js';
export { UpstreamState } from './upstream-state.js';
export type {
  PlacedRequest,
  RequestEnd,
  RequestStep,
  RoutedRequest,
  ServedRequest,
} from './types.js';
