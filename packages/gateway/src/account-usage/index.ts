export { AccountQuotas } from './account-quotas.js';
export type { AccountQuotasPorts, QuotaPermit } from './account-quotas.js';
export { createFleetQuotas } from './create-fleet-quotas.js';
export { serveWithinQuota } from './serve-within-quota.js';
