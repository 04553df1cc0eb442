export { FleetQuarantine } from './fleet-quarantine.js';
export type { FleetQuarantineDependencies, KnownUpstreams } from './fleet-quarantine.js';
export { formatQuarantineReport, parseQuarantineReport } from './quarantine-message.js';
export type { QuarantineReport } from './quarantine-message.js';
