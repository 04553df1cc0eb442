export {
  buildSettingsSchema,
  loadSettings,
  logSchema,
  parseSettings,
  SettingsError,
  settingsSchema,
} from './settings.js';
export type { Endpoint, Settings } from './settings.js';
