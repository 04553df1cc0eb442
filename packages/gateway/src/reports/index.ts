export { DispatcherReports } from './dispatcher-reports.js';
export type { ReportAudience } from './dispatcher-reports.js';
export { ReportInbox } from './report-inbox.js';
export { computeUpstreamHash, formatReport } from './report-message.js';
export type { DispatcherReport, ReportedOutcome } from './report-message.js';
