export { Daemon } from './daemon.js';
export type { DaemonPorts } from './daemon.js';
export { runDaemon } from './run-daemon.js';
export type { Status } from './operators/status.js';
export {
  buildSettingsSchema,
  loadSettings,
  logSchema,
  parseSettings,
  SettingsError,
  settingsSchema,
} from './settings/index.js';
export type { Endpoint, Settings } from './settings/index.js';
export { FleetView, Gossip } from './fleet/index.js';
export { exchangeSchema, PeerClients, probeSchema } from './peers/index.js';
export type { ExchangeAnswer, ExchangeMessage, ProbeRequest } from './peers/index.js';
export { createProcessRandom, systemClock } from './runtime/clock.js';
export { dropBody } from './runtime/drop-body.js';
export { createLog } from './runtime/log.js';
export type { Log } from './runtime/log.js';
