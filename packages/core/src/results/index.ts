export { findResultCode, listResultCodes, RESULT_CODES } from './result-codes.js';
export type { ResultCode, ResultName, RunOutcome } from './result-codes.js';
export {
  BaseError,
  buildProblem,
  createRefusal,
  createRequestError,
  RequestError,
  toRequestError,
} from './request-error.js';
export type { Problem } from './request-error.js';
