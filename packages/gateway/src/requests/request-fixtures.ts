/**
 * Requests, answers and upstreams for tests.
 */
import type { RegisteredUpstream, Route } from '@baobabline/core';

import type { AnswerHead, HttpDialect } from '../dialect/index.js';
import type { ExchangeEnd } from '../upstreams/index.js';
import type { CrashGuard } from './crash-guard.js';
import type { RoutedRequest } from './types.js';

const CALLER_TIMEOUT_MS = 2000;

const ANSWER_HEAD: AnswerHead = {
  requestId: undefined,
  isNotRun: false,
  isSigned: true,
  load: undefined,
  keepAliveMs: undefined,
  rateLimit: undefined,
  isLeaving: false,
};

/** A dialect without headers. */
export const PLAIN_DIALECT: HttpDialect = {
  ownHeaders: new Set(),
  accountHeaders: new Set(),
  keyScheme: 'bearer',
  readCallerHead: () => ({ requestId: undefined, timeAllowedMs: undefined }),
  readAnswerHead: () => ANSWER_HEAD,
  buildUpstreamHeaders: () => [],
};

/** A guard that suspects no request. */
export const NO_CRASH_GUARD: CrashGuard = {
  judge: () => ({ kind: 'allowed' }),
  isSuspect: () => false,
  recordTrial: () => undefined,
  recordSuccess: () => undefined,
  recordLoss: (_lost, onDone) => onDone(),
};

export function buildAnswerEnd(status: number, head: Partial<AnswerHead> = {}): ExchangeEnd {
  return {
    kind: 'answered',
    isClosing: false,
    answer: {
      status,
      statusText: '',
      headers: [],
      body: [],
      bodyBytes: 0,
      head: { ...ANSWER_HEAD, ...head },
    },
  };
}

export function buildUpstreamRecord(id: string, slots = 1): RegisteredUpstream {
  return {
    id,
    service: 's',
    address: '10.0.0.1',
    port: 80,
    dataCentre: 'z1',
    slots,
    state: 'ready',
    warmUpMs: 0,
    bornAt: 1,
  };
}

/** Builds a request that arrives now, in milliseconds. */
export function buildRoutedRequest(
  id: string,
  now: number,
  kind: Route['kind'],
  changes: Partial<Route> = {},
): RoutedRequest {
  const route: Route = {
    id: 'r',
    host: 'h',
    prefix: '/',
    kind,
    parts: [{ service: 's', weight: 1 }],
    timeoutMs: 250,
    targetLatencyMs: 100,
    maxAttempts: 2,
    priority: 0,
    ...changes,
  };
  return {
    id,
    fingerprint: `fingerprint of ${id}`,
    route,
    service: 's',
    caller: undefined,
    priority: route.priority,
    method: 'GET',
    target: '/',
    headers: [],
    body: [],
    bodyBytes: 0,
    arrivedAt: now,
    callerEndAt: now + CALLER_TIMEOUT_MS,
    endAt: now + route.timeoutMs,
  };
}
