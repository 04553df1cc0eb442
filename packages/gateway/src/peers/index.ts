export type { DispatcherReport, FollowRequest, ReportedOutcome } from './messages.js';
export { createPeerApp } from './peer-app.js';
export type { GatewayPeerRouter, PeerHandlers } from './router.js';
