export { GatewayMetrics } from './gateway-metrics.js';
export { createMetricsServer } from './metrics-server.js';
export type { MetricsSource, ServiceMetrics, UpstreamCondition } from './metrics-registry.js';
