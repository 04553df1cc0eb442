export { Detector } from './detector.js';
export { SurvivalHistogram } from './survival-histogram.js';
export {
  chooseEvidenceToTell,
  computeThreshold,
  EvidencePool,
  judgeUpstream,
} from './evidence-pool.js';
export type { SuspicionThreshold, Verdict } from './evidence-pool.js';
export { CrashReports } from './crash-reports.js';
export type { CrashReport } from './crash-reports.js';
export type { Evidence, PendingRequest, RequestEnd, UpstreamScore } from './types.js';
