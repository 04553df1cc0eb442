export { formatKeyPrefix, parseKey } from './key-format.js';
export type { IssuedKey } from './key-format.js';
export { DEFAULT_KEY_STORE_SETTINGS, IdempotencyKeyStore } from './key-store.js';
export type { KeyDecision, KeyStoreSettings, Settlement } from './key-store.js';
