/**
 * Judges what an upstream's answer is worth to its caller, and what it says of the upstream. Every answer
 * of an upstream goes through this one decision, of whatever attempt it is.
 *
 * | answer                                           | verdict   | caller                         | upstream            |
 * | ------------------------------------------------ | --------- | ------------------------------ | ------------------- |
 * | states that it was not run, 429 or 503           | `shed`    | another upstream, or a refusal | short of capacity   |
 * | states that it was not run, any other status     | `leaving` | another upstream, or a refusal | takes no new work   |
 * | 408, 421, 429 or 503 without that statement      | `unknown` | 502                            | counts as a failure |
 * | 2xx without a signature                          | `unknown` | 502                            | counts as a failure |
 * | 5xx without a signature                          | `unknown` | 502                            | counts as a failure |
 * | any other 5xx                                    | `failed`  | the answer as it came          | counts as a failure |
 * | any other 2xx, 3xx or 4xx                        | `good`    | the answer as it came          | counts as a success |
 *
 * A repeatable request is tried again after `unknown` and `failed`, an unsafe one is not.
 */
import type { AnswerHead } from '../dialect/index.js';

export type AnswerVerdict = 'good' | 'failed' | 'unknown' | 'shed' | 'leaving';

/** To callers these statuses promise that the request has not run and never will. */
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
const SHED_STATUSES: readonly number[] = [429, 503];
const LOWEST_REDIRECT_STATUS = 300;
const LOWEST_SERVER_ERROR_STATUS = 500;

/** Whether callers take a status for the promise that the request has not run. */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.includes(status);
}

export function judgeAnswer(
  status: number,
  { isNotRun, isSigned }: Pick<AnswerHead, 'isNotRun' | 'isSigned'>,
): AnswerVerdict {
  if (isNotRun) return SHED_STATUSES.includes(status) ? 'shed' : 'leaving';
  if (isNotRunStatus(status)) return 'unknown';
  const isServerError = status >= LOWEST_SERVER_ERROR_STATUS;
  const needsSignature = isServerError || status < LOWEST_REDIRECT_STATUS;
  if (needsSignature && !isSigned) return 'unknown';
  return isServerError ? 'failed' : 'good';
}
