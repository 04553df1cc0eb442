export { ChangeWaiters } from './change-waiters.js';
export { PeerFollower } from './peer-follower.js';
export { StoreReader } from './store-reader.js';
