export type {
  AnswerHead,
  CallerHead,
  DirectoryResponse,
  DirectoryDialect,
  DirectoryQuery,
  HeaderMap,
  HeaderPair,
  HttpDialect,
  PlatformAdapter,
  RecordFaultHandler,
  RecordSource,
  UpstreamHead,
} from './types.js';
