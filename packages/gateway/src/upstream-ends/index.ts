export { END_VERDICTS, UpstreamEndDetector } from './upstream-end-detector.js';
export type {
  EndVerdict,
  UpstreamEnd,
  UpstreamEndDetectorDependencies,
} from './upstream-end-detector.js';
