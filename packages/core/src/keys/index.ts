export { formatKeyPrefix, parseKey } from './key-format.js';
export type { IssuedKey } from './key-format.js';
export { DEFAULT_KEY_LEDGER_SETTINGS, KeyLedger } from './key-ledger.js';
export type { KeyDecision, KeyLedgerSettings, Settlement } from './key-ledger.js';
