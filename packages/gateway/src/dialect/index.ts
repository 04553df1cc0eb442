export type {
  AnswerHead,
  CallerHead,
  DirectoryAnswer,
  DirectoryDialect,
  DirectoryQuestion,
  HeaderMap,
  HeaderPair,
  HttpDialect,
  PlatformPorts,
  RecordFaultHandler,
  RecordSource,
  UpstreamHead,
} from './types.js';
