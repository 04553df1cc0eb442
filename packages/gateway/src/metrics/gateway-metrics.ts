/**
 * Records request metrics. Loading prom-client takes a tenth of a daemon's start time, so it is
 * loaded when metrics are first requested; observations made until then are kept and replayed.
 */
import type { RequestPhase } from '../edge/index.js';
import type { ExceptionOrigin } from '../exceptions/index.js';
import type { FarTraffic, RequestEnd, RequestStep, RoutedRequest } from '../requests/index.js';
import type { EndVerdict } from '../upstream-ends/index.js';
import type { MetricsSource, MetricsRegistry } from './metrics-registry.js';

/** One observation, applied once the registry is loaded. */
type Observation = (registry: MetricsRegistry) => void;

/** Steps that count as failed attempts. */
const FAILED_STEPS: readonly string[] = ['overdue', 'unsent', 'lost', 'invalid'];
/** At this many pending observations, a few seconds of requests, the library is loaded in any case. */
const MAX_PENDING_OBSERVATIONS = 5000;
const SERVER_ERROR_STATUS = 500;
const MS_PER_SECOND = 1000;

function describeOutcome(end: RequestEnd): string {
  if (end.kind === 'refused') return end.error.result.outcome;
  return end.answer.status < SERVER_ERROR_STATUS ? 'good' : 'failed';
}

export class GatewayMetrics {
  readonly #source: MetricsSource;

  #registry: MetricsRegistry | undefined;

  #loading: Promise<MetricsRegistry> | undefined;

  #pending: Observation[] = [];

  readonly #onFault: (error: Error) => void;

  /** `onFault` is called if the library cannot be loaded. */
  constructor(source: MetricsSource, onFault: (error: Error) => void) {
    this.#source = source;
    this.#onFault = onFault;
  }

  async #load(): Promise<MetricsRegistry> {
    const { MetricsRegistry } = await import('./metrics-registry.js');
    const registry = new MetricsRegistry(this.#source);
    this.#registry = registry;
    this.#pending.forEach((observe) => observe(registry));
    this.#pending = [];
    return registry;
  }

  /** Records a step of a request; `now` is read from the daemon's clock, in milliseconds. */
  recordStep(request: RoutedRequest, step: RequestStep, now: number): void {
    const { service, arrivedAt, route } = request;
    const { step: name, reason, status, verdict, attempt, upstream, limitPerSecond } = step;
    if (name === 'sent') {
      this.#record(({ attempts, queueTimes: waits }) => {
        attempts.inc({ service, reason: String(reason) });
        if (attempt === 1) waits.observe({ service }, (now - arrivedAt) / MS_PER_SECOND);
      });
    }
    if (name === 'sent' && limitPerSecond !== undefined) {
      this.#record(({ limitedAttempts }) =>
        limitedAttempts.inc({ service, upstream: String(upstream) }),
      );
    }
    if (name === 'hopeless') {
      this.#record(({ refusedWaits }) => refusedWaits.inc({ service, reason: String(reason) }));
    }
    if (FAILED_STEPS.includes(name)) this.#recordFailure(service, name);
    if (verdict === 'unknown' || (name === 'answered' && Number(status) >= SERVER_ERROR_STATUS)) {
      this.#recordFailure(service, String(status));
    }
    if (name === 'caller-gone') {
      this.#record(({ requests }) => requests.inc({ kind: route.kind, outcome: name }));
    }
  }

  /** Records the outcome and the duration of a request. */
  recordEnd({ route: { kind } }: RoutedRequest, end: RequestEnd, elapsedMs: number): void {
    // An observation may wait for long, so it holds nothing of the answer.
    const outcome = describeOutcome(end);
    this.#record(({ requests, durations }) => {
      requests.inc({ kind, outcome });
      durations.observe({ kind }, elapsedMs / MS_PER_SECOND);
    });
  }

  /** Records a refusal or failure of the daemon itself, by result code. */
  recordRefusal(code: number): void {
    this.#record(({ refusals }) => refusals.inc({ code: String(code) }));
  }

  /** Records a request that a planned stop has cut, by the phase that it was in. */
  recordCut(phase: RequestPhase): void {
    this.#record(({ cutRequests }) => cutRequests.inc({ phase }));
  }

  /** Records a download that was not sent since its answer could not be delivered or held. */
  recordDownloadRefusal(cause: 'link' | 'memory'): void {
    this.#record(({ downloadRefusals }) => downloadRefusals.inc({ cause }));
  }

  /** Records a caller whose connection was closed since it did not read its answer. */
  recordSlowReader(): void {
    this.#record(({ slowReaders }) => slowReaders.inc());
  }

  /** Records what is sent to, or received from, another data centre. */
  recordFarTraffic({ service, reason, requests, bytes }: FarTraffic): void {
    this.#record(({ farRequests, farBytes }) => {
      farRequests.inc({ service, reason }, requests);
      farBytes.inc({ service, reason }, bytes);
    });
  }

  /** Records that a record was refused or replaced because of the era in which it was read. */
  recordConflict(outcome: 'refused' | 'replaced'): void {
    this.#record(({ recordConflicts }) => recordConflicts.inc({ outcome }));
  }

  /** Records that a request was lost at an upstream, by what became of the upstream. */
  recordLostUpstream(verdict: EndVerdict): void {
    this.#record(({ upstreamEnds }) => upstreamEnds.inc({ verdict }));
  }

  /** Records an exception that was contained, by what was at work. */
  recordException(origin: ExceptionOrigin): void {
    this.#record(({ exceptions }) => exceptions.inc({ origin }));
  }

  /** Returns the metrics in the Prometheus text format; loads the library if necessary. */
  async describe(): Promise<string> {
    this.#loading ??= this.#load();
    return (await this.#loading).registry.metrics();
  }

  #recordFailure(service: string, cause: string): void {
    this.#record(({ failures }) => failures.inc({ service, cause }));
  }

  #enqueue(observe: Observation): void {
    this.#pending.push(observe);
    if (this.#pending.length < MAX_PENDING_OBSERVATIONS) return;
    this.#loading ??= this.#load();
    this.#loading.catch(this.#onFault);
  }

  #record(observe: Observation): void {
    if (this.#registry) observe(this.#registry);
    else this.#enqueue(observe);
  }
}
