export { CallerServer } from './caller-server.js';
export type { CallerPorts, SlowReader, StopGate } from './caller-server.js';
export { REQUEST_PHASES } from './open-request.js';
export type { CutRequest, RequestPhase } from './open-request.js';
