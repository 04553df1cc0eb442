export type { FollowRequest } from './messages.js';
export { createPeerApp } from './peer-app.js';
export type { FollowAnswer, GatewayPeerRouter, PeerHandlers } from './router.js';
