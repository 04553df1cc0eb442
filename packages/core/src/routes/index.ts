export { WeightedRoundRobin } from './weighted-round-robin.js';
export { RouteTable } from './route-table.js';
export { isRepeatableKind, ROUTE_KINDS, routingConfigurationSchema } from './types.js';
export type { CallerLimits, Route, RouteKind, RoutePart, RoutingConfiguration } from './types.js';
