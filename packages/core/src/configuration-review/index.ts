export { judgeConfiguration } from './judge-configuration.js';
export type { ConfigurationReview, Difference, Finding, FindingKind } from './types.js';
