/**
 * Which headers travel on. Hop-by-hop headers end here (RFC 9110, 7.6.1); the deadline is written
 * anew as the time that is left.
 */
import { REQUEST_HEADERS } from '@baobabline/core';
import type { IncomingHttpHeaders } from 'node:http';

import type { AnswerHeaders, Job } from './types.js';

/** Slots that the answering daemon has free, told to the one that handed a request on. */
export const FREE_HEADER = 'baobabline-free';

/** `no` where a request handed on is to be refused at once if no slot is free. */
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

function listOnward(
  headers: IncomingHttpHeaders | AnswerHeaders,
): readonly (readonly [string, string | string[]])[] {
  return Object.entries(headers).flatMap(([name, value]) =>
    value === undefined || HOP_BY_HOP.has(name) ? [] : [[name, value] as const],
  );
}

/** Builds the headers of a request to an upstream or a peer. */
export function buildOnwardHeaders(job: Job, timeLeftMs: number): HeaderRecord {
  return {
    ...Object.fromEntries(listOnward(job.headers)),
    [REQUEST_HEADERS.requestId]: job.head.requestId,
    [REQUEST_HEADERS.deadlineMs]: String(Math.max(1, Math.floor(timeLeftMs))),
    [REQUEST_HEADERS.repeatable]: String(job.repeatable),
    ...(job.mayWait ? {} : { [WAIT_HEADER]: 'no' }),
  };
}

/** Builds the headers of an answer to the caller. */
export function buildAnswerHeaders(headers: AnswerHeaders): HeaderRecord {
  return Object.fromEntries(listOnward(headers));
}
