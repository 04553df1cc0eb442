export { createPeerRouter } from './app.js';
export type { PeerHandlers, PeerRouter } from './app.js';
export { ControlMeter } from './control-meter.js';
export { exchangeSchema, probeSchema } from './messages.js';
export type { ExchangeAnswer, ExchangeMessage, ProbeRequest } from './messages.js';
export { PeerClient } from './peer-client.js';
export { PeerClients } from './peer-clients.js';
