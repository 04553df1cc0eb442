export { GatewayMetrics } from './gateway-metrics.js';
export { createMetricsServer } from './metrics-server.js';
export type { FigureSource, ServiceFigures, UpstreamCondition } from './metrics-registry.js';
