export { FleetRateLimits } from './fleet-rate-limits.js';
export type { FleetRateLimitsDependencies, LimitedServices } from './fleet-rate-limits.js';
export { formatRateLimits, parseRateLimits } from './rate-limit-message.js';
export type { ReportedRateLimit } from './rate-limit-message.js';
export { RateLimitReports } from './rate-limit-reports.js';
export type { RateLimitReportsDependencies, UpstreamStatement } from './rate-limit-reports.js';
