/**
 * Writes answers to callers: an upstream's answer whole and unchanged, or a refusal of the
 * gateway's own as problem details.
 */
import { buildProblem } from '@baobabline/core';
import type { RequestError } from '@baobabline/core';
import type { ServerResponse } from 'node:http';

import { listOnwardHeaders } from '../requests/index.js';
import type { UpstreamAnswer } from '../upstreams/index.js';

/** Set anew for the whole body that is at hand. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length']);
const BODILESS_STATUSES: readonly number[] = [204, 304];
const UNAUTHORIZED_STATUS = 401;
/** Which credentials a request needs, as every 401 has to say (RFC 9110, 15.5.2). */
const KEY_CHALLENGE = 'Bearer';
const PROBLEM_TYPE = 'application/problem+json';

function findHeader(headers: readonly string[], name: string): string | undefined {
  const index = headers.findIndex((key, at) => at % 2 === 0 && key.toLowerCase() === name);
  return index < 0 ? undefined : headers[index + 1];
}

/** Writes an upstream's answer. */
export function writeAnswer(response: ServerResponse, answer: UpstreamAnswer): void {
  const { status, statusText, headers, body, bodyBytes } = answer;
  const isHead = response.req.method === 'HEAD';
  const length = isHead ? findHeader(headers, 'content-length') : String(bodyBytes);
  const framing =
    length === undefined || BODILESS_STATUSES.includes(status) ? [] : ['Content-Length', length];
  const onward = listOnwardHeaders(headers, FRAMING_HEADERS).flat();
  response.writeHead(status, statusText, [...onward, ...framing]);
  if (!isHead) body.forEach((chunk) => response.write(chunk));
  response.end();
}

/** Writes a refusal or failure of the gateway's own. */
export function writeRefusal(
  response: ServerResponse,
  error: RequestError,
  requestId: string,
): void {
  const { result, retryAfterSeconds } = error;
  const text = JSON.stringify(buildProblem(error, requestId));
  const retryAfter =
    retryAfterSeconds === undefined || result.outcome !== 'not-run'
      ? []
      : ['Retry-After', retryAfterSeconds.toFixed(3)];
  const challenge =
    result.status === UNAUTHORIZED_STATUS ? ['WWW-Authenticate', KEY_CHALLENGE] : [];
  response.writeHead(result.status, [
    'Content-Type',
    PROBLEM_TYPE,
    'Content-Length',
    String(Buffer.byteLength(text)),
    'Baobabline-Refused',
    String(result.code),
    ...retryAfter,
    ...challenge,
  ]);
  response.end(text);
}
