/**
 * The error that carries a numbered result through the daemon, built on modern-errors, and its
 * form on the wire (RFC 9457 problem details).
 */
import ModernError from 'modern-errors';

import { RESULT_CODES } from './result-codes.js';
import type { ResultCode, ResultName, RunOutcome } from './result-codes.js';

export const BaseError = ModernError.subclass('BaseError');

type RefusalDetails = {
  readonly detail?: string;
  /** Seconds after which a new try may succeed. */
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

/** Creates the error for a named result. */
export function createRefusal(name: ResultName, details: RefusalDetails = {}): RequestError {
  return createRequestError(RESULT_CODES[name], details);
}

/** Turns whatever was thrown into a RequestError; a fault of the daemon claims nothing. */
export function toRequestError(error: unknown): RequestError {
  if (error instanceof RequestError) return error;
  const detail = error instanceof Error ? error.message : String(error);
  return createRefusal('internalError', { detail });
}

/** Builds the problem details of a refusal. */
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
