export { DispatcherReports } from './dispatcher-reports.js';
export { computeUpstreamName } from './report-message.js';
export type { DispatcherReport, ReportedOutcome } from './report-message.js';
export { ReportSocket } from './report-socket.js';
