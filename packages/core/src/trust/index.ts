export { DEFAULT_TRUST_SETTINGS, UpstreamTrust } from './upstream-trust.js';
export type { TrustChange, TrustEvent, TrustSettings } from './upstream-trust.js';
