export { RecordExchange } from './record-exchange.js';
export { StoreReader } from './store-reader.js';
