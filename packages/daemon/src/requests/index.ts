export { CrashWatch } from './crash-watch.js';
export { HandOn, REFUSED_HEADER } from './hand-on.js';
export { buildAnswerHeaders, FREE_HEADER } from './headers.js';
export { RequestPath } from './request-path.js';
export type { Arrival } from './request-path.js';
export type { Answer, Job } from './types.js';
