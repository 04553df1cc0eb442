export { FleetRetrySlack } from './fleet-retry-slack.js';
export { OverloadLog } from './overload-log.js';
export type { OverloadedService } from './overload-log.js';
