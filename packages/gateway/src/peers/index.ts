export { changesSchema } from './messages.js';
export type { RecordsRequest } from './messages.js';
export { createPeerServer, RECORDS_PATH } from './peer-server.js';
export type { GatewayPeerRouter, PeerHandlers } from './router.js';
