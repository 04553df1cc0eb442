export { CrashInvestigator } from './crash-investigator.js';
export { PeerForwarder, REFUSED_HEADER } from './peer-forwarder.js';
export { buildAnswerHeaders, FREE_HEADER } from './headers.js';
export { RequestHandler } from './request-handler.js';
export type { IncomingRequest } from './request-handler.js';
export type { Answer, Job } from './types.js';
