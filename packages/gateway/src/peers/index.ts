export type { FollowRequest } from './messages.js';
export { createPeerServer } from './peer-server.js';
export type { FollowAnswer, GatewayPeerRouter, PeerHandlers } from './router.js';
