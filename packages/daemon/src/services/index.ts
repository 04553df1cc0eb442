export { ServiceState } from './service-state.js';
export type { Placement, ServiceStateDependencies } from './service-state.js';
export { UpstreamLink } from './upstream-link.js';
export { checkReachable, UpstreamReachability } from './upstream-reachability.js';
export type { Probe } from './upstream-reachability.js';
