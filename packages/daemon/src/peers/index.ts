export { createPeerRouter } from './app.js';
export type { PeerHandlers, PeerRouter } from './app.js';
export { ControlMeter } from './control-meter.js';
export { PeerClient } from './peer-client.js';
