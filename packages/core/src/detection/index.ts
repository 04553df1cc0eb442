export { OutlierDetector } from './outlier-detector.js';
export { SurvivalHistogram } from './survival-histogram.js';
export {
  chooseScoresToReport,
  computeThreshold,
  EvidencePool,
  judgeUpstream,
} from './evidence-pool.js';
export type { SuspicionThreshold, Verdict } from './evidence-pool.js';
export { createSuspicionPolicy, SUSPICION_POLICIES } from './suspicion-policies.js';
export type { SuspicionPolicyName } from './suspicion-policies.js';
export type { SuspicionPolicy } from './suspicion-policy.js';
export { CrashReports } from './crash-reports.js';
export type { CrashReport } from './crash-reports.js';
export type { Evidence, PendingRequest, RequestEnd, UpstreamScore } from './types.js';
