export { ResponseParser } from './response-parser.js';
export type { ResponseHead } from './response-parser.js';
export type {
  EndHandler,
  ExchangeEnd,
  ExchangeRequest,
  Reachability,
  UpstreamAnswer,
} from './types.js';
export { UpstreamConnection } from './upstream-connection.js';
export { UpstreamPool } from './upstream-pool.js';
export type { ProbeHandler } from './upstream-pool.js';
