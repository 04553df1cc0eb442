export { parseRequest, REQUEST_HEADERS } from './parse-request.js';
export type { HeaderValues, RawRequest, RequestHead } from './parse-request.js';
export { PlanIndex } from './admit-request.js';
export type { Admission } from './admit-request.js';
