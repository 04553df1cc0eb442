export { FleetRetrySlack } from './fleet-retry-slack.js';
