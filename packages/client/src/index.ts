export { FleetClient } from './fleet-client.js';
export type {
  Address,
  CallerAnswer,
  CallerFailure,
  CallerRequest,
  CallerResult,
  ClientSettings,
  EntryAnswer,
} from './types.js';
