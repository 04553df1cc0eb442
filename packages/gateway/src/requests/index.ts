export { AttemptTimes } from './attempt-times.js';
export { PeerLoads } from './peer-loads.js';
export { listOnwardHeaders } from './request-head.js';
export { RequestRun } from './request-run.js';
export { ServiceDesk } from './service-scheduler.js';
export type { DeskPorts, JudgedAnswer } from './service-scheduler.js';
export { UpstreamState } from './upstream-state.js';
export type { RequestEnd, RequestStep, RoutedRequest } from './types.js';
