export { CrashQuarantine } from './crash-quarantine.js';
export type {
  CrashQuarantineDependencies,
  QuarantineChange,
  QuarantineVerdict,
  ReportEffect,
  SuspectRequest,
} from './crash-quarantine.js';
export type { CrashEvidence, CrashSuspicion } from './crash-suspicion.js';
