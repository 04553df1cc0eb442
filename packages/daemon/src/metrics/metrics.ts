/**
 * The daemon's metrics, in base units, for Prometheus.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

const LATENCY_BUCKETS_SECONDS = [
  0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10,
];

/** Reads the values of gauges when metrics are asked for. */
export type GaugeSource = {
  readonly countMembers: (state: string) => number;
  readonly getDocumentVersion: (name: 'lists' | 'vm-list') => number;
  readonly countRefusedDocuments: () => number;
  readonly countKeys: () => number;
  readonly getControlBytes: () => number;
};

const MEMBER_STATES = ['joining', 'serving', 'leaving', 'suspect', 'left', 'dead'] as const;
const DOCUMENTS = ['lists', 'vm-list'] as const;

export class Metrics {
  readonly registry = new Registry();

  readonly #requests = new Counter({
    name: 'baobabline_requests_total',
    help: 'Requests of callers by service and result code; code 0 is an answer',
    labelNames: ['service', 'code'],
    registers: [this.registry],
  });

  readonly #seconds = new Histogram({
    name: 'baobabline_request_duration_seconds',
    help: 'Time from a request of a caller to its answer or refusal',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_SECONDS,
    registers: [this.registry],
  });

  readonly #ejections = new Counter({
    name: 'baobabline_ejection_changes_total',
    help: 'Upstreams ejected, put on trial, returned or kept by the floor',
    labelNames: ['service', 'change'],
    registers: [this.registry],
  });

  readonly #pauses = new Counter({
    name: 'baobabline_pauses_total',
    help: 'Times the process found that it had been paused',
    registers: [this.registry],
  });

  constructor(source: GaugeSource) {
    this.#registerMembers(source);
    this.#registerDocuments(source);
    this.#registerGauge('baobabline_idempotency_keys', 'Keys held', source.countKeys);
    this.#registerGauge('baobabline_control_bytes', 'Control bytes sent and received', () =>
      source.getControlBytes(),
    );
    this.#registerGauge(
      'baobabline_refused_documents',
      'Publications that failed their checks',
      source.countRefusedDocuments,
    );
    this.#registerGauge('baobabline_resident_memory_bytes', 'Resident memory of the process', () =>
      process.memoryUsage.rss(),
    );
    this.#registerGauge('baobabline_cpu_seconds', 'Processor time of the process', () => {
      const { user, system } = process.cpuUsage();
      return (user + system) / 1e6;
    });
  }

  recordRequest(service: string, code: number, seconds: number): void {
    this.#requests.inc({ service, code: String(code) });
    this.#seconds.observe({ service }, seconds);
  }

  recordEjectionChange(service: string, change: string): void {
    this.#ejections.inc({ service, change });
  }

  recordPause(): void {
    this.#pauses.inc();
  }

  #registerMembers(source: GaugeSource): void {
    const gauge: Gauge = new Gauge({
      name: 'baobabline_members',
      help: 'Members of the fleet by state as this daemon sees them',
      labelNames: ['state'],
      registers: [this.registry],
      collect: () =>
        MEMBER_STATES.forEach((state) => gauge.set({ state }, source.countMembers(state))),
    });
  }

  #registerDocuments(source: GaugeSource): void {
    const gauge: Gauge = new Gauge({
      name: 'baobabline_document_version',
      help: 'Version of each document in force',
      labelNames: ['document'],
      registers: [this.registry],
      collect: () =>
        DOCUMENTS.forEach((document) =>
          gauge.set({ document }, source.getDocumentVersion(document)),
        ),
    });
  }

  #registerGauge(name: string, help: string, read: () => number): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      registers: [this.registry],
      collect: () => gauge.set(read()),
    });
  }
}
