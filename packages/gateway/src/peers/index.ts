export { followAnswerSchema } from './messages.js';
export type { FollowAnswer, FollowRequest } from './messages.js';
export { createPeerServer, FOLLOW_PATH } from './peer-server.js';
export type { FollowHandler, GatewayPeerRouter, PeerHandlers } from './router.js';
