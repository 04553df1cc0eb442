export { CallerServer } from './caller-server.js';
export type { CallerPorts } from './caller-server.js';
