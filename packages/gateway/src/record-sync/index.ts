export { OutdatedConfigurationLog } from './outdated-configuration-log.js';
export { PeerFormats } from './peer-formats.js';
export { ReaderRanks } from './reader-ranks.js';
export { RecordExchange } from './record-exchange.js';
export { StoreReader } from './store-reader.js';
export type { StoreConfirmations } from './store-reader.js';
