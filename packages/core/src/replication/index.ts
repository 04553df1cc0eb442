export { DEFAULT_FRESHNESS_SETTINGS, Freshness } from './freshness.js';
export type { FreshnessClaim, FreshnessSettings } from './freshness.js';
export { DEFAULT_STORE_FALLBACK_SETTINGS, StoreFallback } from './store-fallback.js';
export type { FallbackSituation, StoreFallbackSettings } from './store-fallback.js';
export {
  findKnownRevision,
  hasAllKnown,
  knownRevisionsSchema,
  mergeKnown,
} from './known-revisions.js';
export type { KnownRevisions } from './known-revisions.js';
export { RECORD_FORMAT } from './record-format.js';
export { DEFAULT_REPLICA_SETTINGS, Replica } from './replica.js';
export type { EraChange, RecordConflict, ReplicaHandlers, ReplicaSettings } from './replica.js';
export { MAX_KNOWN_ERAS, StoreEras } from './eras.js';
export type { EraStarts, StorePosition } from './eras.js';
export { StoreOutages } from './store-outages.js';
export type { StoreOutageSettings } from './store-outages.js';
export { recordSchema, registeredUpstreamSchema } from './types.js';
export type {
  ConfigurationPosition,
  PublishedRecord,
  RecordChanges,
  RegisteredUpstream,
  StoreChanges,
  StoredRecord,
} from './types.js';
