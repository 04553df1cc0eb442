export { ServiceState } from './service-state.js';
export type { Placement, ServicePorts } from './service-state.js';
export { UpstreamLink } from './upstream-link.js';
export { checkAnswers, UpstreamReachability } from './upstream-reachability.js';
export type { Probe } from './upstream-reachability.js';
