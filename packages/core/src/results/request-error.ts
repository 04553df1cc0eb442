/**
 * The error class for refused and failed requests, built on modern-errors, and its form on the
 * wire (RFC 9457 problem details). Each error has a result code.
 */
import ModernError from 'modern-errors';

import { RESULT_CODES } from './result-codes.js';
import type { ResultCode, ResultName, RunOutcome } from './result-codes.js';

export const BaseError = ModernError.subclass('BaseError');

type RefusalDetails = {
  readonly detail?: string;
  /** Seconds after which a retry may succeed. */
  readonly retryAfterSeconds?: number;
};

type RequestErrorProps = {
  readonly result: ResultCode;
  readonly retryAfterSeconds: number | undefined;
};

const DEFAULT_PROPS: RequestErrorProps = {
  result: RESULT_CODES.internalError,
  retryAfterSeconds: undefined,
};

export const RequestError = BaseError.subclass('RequestError', { props: DEFAULT_PROPS });

export type RequestError = InstanceType<typeof BaseError> & RequestErrorProps;

/** Creates the error for a result code. */
export function createRequestError(
  result: ResultCode,
  { detail, retryAfterSeconds }: RefusalDetails = {},
): RequestError {
  return new RequestError(detail ?? result.title, { props: { result, retryAfterSeconds } });
}

/** Problem details as sent to callers, media type application/problem+json. */
export type Problem = {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly code: number;
  readonly outcome: RunOutcome;
  readonly detail: string;
  readonly requestId: string;
};

/** Creates the error for the result code of this name. */
export function createRefusal(name: ResultName, details: RefusalDetails = {}): RequestError {
  return createRequestError(RESULT_CODES[name], details);
}

/**
 * Converts anything thrown into a RequestError. An unexpected error becomes `internalError`, whose
 * outcome is `unknown`.
 */
export function toRequestError(error: unknown): RequestError {
  if (error instanceof RequestError) return error;
  const detail = error instanceof Error ? error.message : String(error);
  return createRefusal('internalError', { detail });
}

/** Builds the problem details of an error. */
export function buildProblem(error: RequestError, requestId: string): Problem {
  const { result } = error;
  return {
    type: `urn:baobabline:result:${result.name}`,
    title: result.title,
    status: result.status,
    code: result.code,
    outcome: result.outcome,
    detail: error.message,
    requestId,
  };
}
