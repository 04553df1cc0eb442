export { CrashWatch } from './crash-investigator.js';
export { HandOn, REFUSED_HEADER } from './peer-forwarder.js';
export { buildAnswerHeaders, FREE_HEADER } from './headers.js';
export { RequestPath } from './request-handler.js';
export type { Arrival } from './request-handler.js';
export type { Answer, Job } from './types.js';
