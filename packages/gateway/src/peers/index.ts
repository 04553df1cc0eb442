export { changesSchema } from './messages.js';
export type { RecordsRequest } from './messages.js';
export { createPeerServer, MEMBERS_PATH, RECORDS_PATH } from './peer-server.js';
export type { PeerHandlers } from './peer-server.js';
