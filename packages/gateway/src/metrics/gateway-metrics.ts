/**
 * Counts what happens to requests. The library behind it costs a tenth of the time to start, so
 * that it is loaded once metrics are asked for; what happens until then is counted afterwards.
 */
import type { RequestEnd, RequestStep, RoutedRequest } from '../requests/index.js';
import type { FigureSource, MetricsRegistry } from './metrics-registry.js';

/** One observation, to be made once the registry is there. */
type Observation = (registry: MetricsRegistry) => void;

/** Steps of a request that are attempts without a good answer. */
const FAILED_STEPS: readonly string[] = ['overdue', 'unsent', 'lost', 'invalid'];
/** With more than this to be counted the library is loaded in any case: a few seconds of requests. */
const MAX_PENDING = 5000;
const SERVER_ERROR_STATUS = 500;
const MS_PER_SECOND = 1000;

function describeOutcome(end: RequestEnd): string {
  if (end.kind === 'refused') return end.error.result.outcome;
  return end.answer.status < SERVER_ERROR_STATUS ? 'good' : 'failed';
}

export class GatewayMetrics {
  readonly #source: FigureSource;

  #registry: MetricsRegistry | undefined;

  #loading: Promise<MetricsRegistry> | undefined;

  #pending: Observation[] = [];

  readonly #onFault: (error: Error) => void;

  /** `onFault` is called if the library cannot be loaded. */
  constructor(source: FigureSource, onFault: (error: Error) => void) {
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

  /** Notes a step of a request, at a time of the daemon's clock. */
  recordStep(request: RoutedRequest, step: RequestStep, now: number): void {
    const { service, arrivedAt, route } = request;
    const { step: name, reason, status, attempt } = step;
    if (name === 'sent') {
      this.#record(({ attempts, waits }) => {
        attempts.inc({ service, reason: String(reason) });
        if (attempt === 1) waits.observe({ service }, (now - arrivedAt) / MS_PER_SECOND);
      });
    }
    if (FAILED_STEPS.includes(name)) this.#recordFailure(service, name);
    if (name === 'answered' && Number(status) >= SERVER_ERROR_STATUS) {
      this.#recordFailure(service, String(status));
    }
    if (name === 'caller-gone') {
      this.#record(({ requests }) => requests.inc({ kind: route.kind, outcome: name }));
    }
  }

  /** Notes how a request ended, after so many milliseconds. */
  recordEnd({ route: { kind } }: RoutedRequest, end: RequestEnd, elapsedMs: number): void {
    this.#record(({ requests, durations }) => {
      requests.inc({ kind, outcome: describeOutcome(end) });
      durations.observe({ kind }, elapsedMs / MS_PER_SECOND);
    });
  }

  /** Notes a refusal or failure of the daemon's own. */
  recordRefusal(code: number): void {
    this.#record(({ refusals }) => refusals.inc({ code: String(code) }));
  }

  /** The metrics as text; loads the library where that is still to be done. */
  async describe(): Promise<string> {
    this.#loading ??= this.#load();
    return (await this.#loading).registry.metrics();
  }

  #recordFailure(service: string, cause: string): void {
    this.#record(({ failures }) => failures.inc({ service, cause }));
  }

  #keep(observe: Observation): void {
    this.#pending.push(observe);
    if (this.#pending.length < MAX_PENDING) return;
    this.#loading ??= this.#load();
    this.#loading.catch(this.#onFault);
  }

  #record(observe: Observation): void {
    if (this.#registry) observe(this.#registry);
    else this.#keep(observe);
  }
}
