export { UpstreamLinkMonitor } from './upstream-link-monitor.js';
export type { UpstreamLinkMonitorDependencies } from './upstream-link-monitor.js';
