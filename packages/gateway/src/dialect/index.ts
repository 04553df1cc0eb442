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
  RecordSource,
  UpstreamHead,
} from './types.js';
