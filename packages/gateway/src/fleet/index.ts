export { FleetLinks } from './fleet-links.js';
export { TrafficMeter } from './traffic-meter.js';
export type { TrafficPurpose, TrafficRow } from './traffic-meter.js';
