export type {
  KnownRateLimit,
  RateLimitChange,
  RateLimitStatement,
} from './rate-limit-statement.js';
export { UpstreamRateLimit } from './upstream-rate-limit.js';
