export { DispatcherReports } from './dispatcher-reports.js';
