/**
 * Records each request so that its outcome can be explained afterwards: decisions go to the decision
 * log, as far as it is sampled, and counts and durations to the metrics.
 */
import type { Clock, RequestError } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import type { CutRequest, SlowReader } from '../edge/index.js';
import type { GatewayMetrics } from '../metrics/index.js';
import type { RequestEnd, RequestStep, RoutedRequest } from '../requests/index.js';

export type RequestRecorderDependencies = {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: GatewayMetrics;
};

/** Steps that may explain a failed request; their log lines are marked as kept. */
const FAILED_STEPS: readonly string[] = [
  'overdue',
  'unsent',
  'lost',
  'invalid',
  'caller-gone',
  'hopeless',
  'undeliverable',
  'quarantined',
];
const SERVER_ERROR_STATUS = 500;

function isFailedStep({ step, status, verdict }: RequestStep): boolean {
  const isServerError = typeof status === 'number' && status >= SERVER_ERROR_STATUS;
  return FAILED_STEPS.includes(step) || verdict === 'unknown' || isServerError;
}

export class RequestRecorder {
  readonly #dependencies: RequestRecorderDependencies;

  constructor(dependencies: RequestRecorderDependencies) {
    this.#dependencies = dependencies;
  }

  recordStep(request: RoutedRequest, step: RequestStep): void {
    const { clock, log, metrics } = this.#dependencies;
    const now = clock.now();
    metrics.recordStep(request, step, now);
    if (!log.shouldLogDecision()) return;
    const { id, route, service, endAt } = request;
    const timeLeftMs = Math.round(endAt - now);
    const fields = { request: id, route: route.id, service, timeLeftMs, ...step };
    log.decision('request', fields, isFailedStep(step) ? 'kept' : 'ordinary');
  }

  recordEnd(request: RoutedRequest, end: RequestEnd): void {
    const { clock, metrics } = this.#dependencies;
    metrics.recordEnd(request, end, clock.now() - request.arrivedAt);
  }

  /** Records a request that ended without its answer since this daemon closed its connection. */
  recordCut({ id, phase, ageMs }: CutRequest): void {
    const { log, metrics } = this.#dependencies;
    metrics.recordCut(phase);
    log.warn('request-cut', { request: id, phase, ageMs });
  }

  /** Records a caller whose connection was closed since it did not read its answer. */
  recordSlowReader({ id, bytes, ageMs }: SlowReader): void {
    const { log, metrics } = this.#dependencies;
    metrics.recordSlowReader();
    log.warn('slow-reader-closed', { request: id, unreadBytes: bytes, ageMs: Math.round(ageMs) });
  }

  /** Records a refusal or failure of the daemon itself. */
  recordRefusal({ result, message }: RequestError, request: string, target: string): void {
    const { log, metrics } = this.#dependencies;
    metrics.recordRefusal(result.code);
    if (!log.shouldLogDecision()) return;
    const { code, outcome } = result;
    log.decision('refused', { request, target, code, outcome, detail: message }, 'kept');
  }
}
