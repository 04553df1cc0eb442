export { RateLimitShares } from './rate-limit-shares.js';
export type { RateLimitSharesPorts, ShareMember } from './rate-limit-shares.js';
export type {
  KnownRateLimit,
  RateLimitChange,
  RateLimitStatement,
} from './rate-limit-statement.js';
export { UpstreamRateLimit } from './upstream-rate-limit.js';
