export { RequestRecords } from './request-records.js';
