/**
 * Builds the headers of forwarded requests and of answers. Hop-by-hop headers are removed
 * (RFC 9110, 7.6.1), and the deadline header is set to the time that is left.
 */
import { REQUEST_HEADERS } from '@baobabline/core';
import type { IncomingHttpHeaders } from 'node:http';

import type { AnswerHeaders, Job } from './types.js';

/** Number of free slots at the answering daemon, sent to the daemon that forwarded the request. */
export const FREE_HEADER = 'baobabline-free';

/** `no` if a forwarded request must be refused at once when no slot is free. */
export const WAIT_HEADER = 'baobabline-wait';

const HOP_BY_HOP: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'host',
  'content-length',
  'baobabline-refused',
  'baobabline-outcome',
  'baobabline-draining',
  'baobabline-load',
  FREE_HEADER,
  WAIT_HEADER,
]);

type HeaderRecord = Record<string, string | string[]>;

function listEndToEnd(
  headers: IncomingHttpHeaders | AnswerHeaders,
): readonly (readonly [string, string | string[]])[] {
  return Object.entries(headers).flatMap(([name, value]) =>
    value === undefined || HOP_BY_HOP.has(name) ? [] : [[name, value] as const],
  );
}

/** Builds the headers of a request to an upstream or a peer. */
export function buildForwardedHeaders(job: Job, timeLeftMs: number): HeaderRecord {
  return {
    ...Object.fromEntries(listEndToEnd(job.headers)),
    [REQUEST_HEADERS.requestId]: job.head.requestId,
    [REQUEST_HEADERS.deadlineMs]: String(Math.max(1, Math.floor(timeLeftMs))),
    [REQUEST_HEADERS.repeatable]: String(job.repeatable),
    ...(job.mayWait ? {} : { [WAIT_HEADER]: 'no' }),
  };
}

/** Builds the headers of an answer to the caller. */
export function buildAnswerHeaders(headers: AnswerHeaders): HeaderRecord {
  return Object.fromEntries(listEndToEnd(headers));
}
