export { RequestRecords } from './request-recorder.js';
