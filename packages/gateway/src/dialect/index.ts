export { SourceRefusedError } from './source-refused-error.js';
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
  SourceAnswer,
  UpstreamHead,
} from './types.js';
