export { Daemon } from './daemon.js';
export type { DaemonPorts } from './daemon.js';
export { runDaemon } from './run-daemon.js';
export type { Status } from './operators/status.js';
export {
  buildSettingsSchema,
  loadSettings,
  parseSettings,
  SettingsError,
  settingsSchema,
} from './settings/index.js';
export type { Endpoint, Settings } from './settings/index.js';
export { FleetView } from './fleet/index.js';
