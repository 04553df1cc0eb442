/**
 * What is kept of each request for those who have to explain it afterwards: a log line for each
 * decision, and the metrics.
 */
import type { Clock, RequestError } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import type { GatewayMetrics } from '../metrics/index.js';
import type { RequestEnd, RequestStep, RoutedRequest } from '../requests/index.js';

export type RecordsPorts = {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
};

/** Steps that may explain why a request failed. */
const FAILED_STEPS: readonly string[] = [
  'overdue',
  'unsent',
  'lost',
  'invalid',
  'caller-gone',
  'hopeless',
];
const SERVER_ERROR_STATUS = 500;

function isFailedStep({ step, status }: RequestStep): boolean {
  return (
    FAILED_STEPS.includes(step) || (typeof status === 'number' && status >= SERVER_ERROR_STATUS)
  );
}

export class RequestRecords {
  readonly #ports: RecordsPorts;

  constructor(ports: RecordsPorts) {
    this.#ports = ports;
  }

  recordStep(request: RoutedRequest, step: RequestStep): void {
    const { clock, log, metrics } = this.#ports;
    const now = clock.now();
    metrics.recordStep(request, step, now);
    if (!log.shouldLogDecision()) return;
    const { id, route, service, endAt } = request;
    const timeLeftMs = Math.round(endAt - now);
    const fields = { request: id, route: route.id, service, timeLeftMs, ...step };
    log.decision('request', fields, isFailedStep(step) ? 'kept' : 'ordinary');
  }

  recordEnd(request: RoutedRequest, end: RequestEnd): void {
    const { clock, metrics } = this.#ports;
    metrics.recordEnd(request, end, clock.now() - request.arrivedAt);
  }

  /** Notes a refusal or failure of the daemon's own. */
  recordRefusal({ result, message }: RequestError, request: string, target: string): void {
    const { log, metrics } = this.#ports;
    metrics.recordRefusal(result.code);
    if (!log.shouldLogDecision()) return;
    const { code, outcome } = result;
    log.decision('refused', { request, target, code, outcome, detail: message }, 'kept');
  }
}
