/**
 * Prometheus metrics of a gateway, in base units.
 */
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

import { EXCEPTION_ORIGINS } from '../exceptions/index.js';
import type { DownloadState } from '../downloads/index.js';
import type { TrafficRow } from '../fleet/index.js';
import { END_VERDICTS } from '../upstream-ends/index.js';

const LATENCY_BUCKETS_SECONDS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5];

export type UpstreamCondition = 'trusted' | 'suspect' | 'unreachable' | 'leaving';

/** Current state of one service. */
export type ServiceMetrics = {
  readonly service: string;
  readonly queuedRequests: number;
  /** Remaining part of the retry budget, from 0 to 1. */
  readonly retryBudgetShare: number;
  /** Part of the fleet's slack that this daemon may use, from 0 to 1. */
  readonly retrySlackShare: number;
  /** Client accounts that have got more than their share of the service. */
  readonly accountsOverShare: number;
  readonly upstreams: Readonly<Record<UpstreamCondition, number>>;
  /** Upstreams that have stated a rate limit, in any condition. */
  readonly limitedUpstreams: number;
};

/** Values that are read each time metrics are collected. */
export type MetricsSource = {
  /** The phases that a request can be in when a planned stop cuts it. */
  readonly requestPhases: readonly string[];
  readonly listServices: () => readonly ServiceMetrics[];
  /** Members of the fleet by state, as this daemon sees them. */
  readonly countMembers: () => ReadonlyMap<string, number>;
  /** Requests that are kept from upstreams since these ended with them. */
  readonly countQuarantinedRequests: () => number;
  readonly getConfigurationVersion: () => number;
  readonly getRevision: () => number;
  /** The newest era of the store that is known; 0 before the first answer. */
  readonly getStoreEra: () => number;
  readonly isStoreUnavailable: () => boolean;
  readonly isDispatcher: () => boolean;
  /** Age of the key lease; 0 if none is needed, Infinity before the first one. */
  readonly getKeyLeaseAgeMs: () => number;
  /** Whether no newer configuration is known that this daemon cannot use. */
  readonly isConfigurationNewest: () => boolean;
  /** Whether this daemon reaches hardly any upstream. */
  readonly isCutOff: () => boolean;
  /** Client accounts with requests refused for their quotas lately. */
  readonly getAccountsOverQuota: () => number;
  /** Part of the fleet whose use of quotas is known, from 0 to 1. */
  readonly getQuotaVisiblePart: () => number;
  readonly listTraffic: () => readonly TrafficRow[];
  readonly describeDownloads: () => DownloadState;
};

const CONDITIONS: readonly UpstreamCondition[] = ['trusted', 'suspect', 'unreachable', 'leaving'];
const MICROSECONDS_PER_SECOND = 1e6;
const MS_PER_SECOND = 1000;

export class MetricsRegistry {
  readonly registry = new Registry();

  readonly requests = this.#createCounter(
    'baobabline_requests_total',
    'Requests of callers by kind of route and outcome',
    ['kind', 'outcome'],
  );

  readonly refusals = this.#createCounter(
    'baobabline_refusals_total',
    'Refusals and failures of the daemon itself, by result code',
    ['code'],
  );

  readonly attempts = this.#createCounter(
    'baobabline_attempts_total',
    'Requests sent to upstreams, by the reason of the choice',
    ['service', 'reason'],
  );

  readonly limitedAttempts = this.#createCounter(
    'baobabline_limited_attempts_total',
    'Requests sent to upstreams while these had a rate limit',
    ['service', 'upstream'],
  );

  readonly failures = this.#createCounter(
    'baobabline_attempt_failures_total',
    'Attempts without a good answer: by status of the answer, or by what came in its place',
    ['service', 'cause'],
  );

  readonly refusedWaits = this.#createCounter(
    'baobabline_refused_waits_total',
    'Requests refused since they could not wait for a slot or a retry, by reason',
    ['service', 'reason'],
  );

  readonly cutRequests = this.#createCounter(
    'baobabline_stop_cut_requests_total',
    'Requests that a planned stop has cut, by the phase that they were in',
    ['phase'],
  );

  readonly downloadRefusals = this.#createCounter(
    'baobabline_download_refusals_total',
    'Downloads that were not sent since the link could not deliver, or the memory not hold, the answer',
    ['cause'],
  );

  readonly slowReaders = this.#createCounter(
    'baobabline_slow_readers_closed_total',
    'Connections of callers that were closed since they did not read while memory was short',
    [],
  );

  readonly farRequests = this.#createCounter(
    'baobabline_far_requests_total',
    'Requests sent to upstreams of other data centres, by why it was worth it',
    ['service', 'reason'],
  );

  readonly farBytes = this.#createCounter(
    'baobabline_far_bytes_total',
    'Bytes of requests to upstreams of other data centres and of their answers, by why it was worth it',
    ['service', 'reason'],
  );

  readonly recordConflicts = this.#createCounter(
    'baobabline_record_conflicts_total',
    'Records refused as older than the known one of their key, or replaced in spite of a higher revision',
    ['outcome'],
  );

  readonly exceptions = this.#createCounter(
    'baobabline_exceptions_total',
    'Exceptions that were contained, by what was at work',
    ['origin'],
  );

  readonly upstreamEnds = this.#createCounter(
    'baobabline_lost_upstreams_total',
    'Upstreams at which a request was lost, by what became of them',
    ['verdict'],
  );

  readonly durations = this.#createHistogram(
    'baobabline_request_duration_seconds',
    'Time from a request of a caller to its end',
    'kind',
  );

  readonly queueTimes = this.#createHistogram(
    'baobabline_waiting_seconds',
    'Time that a request waited for room before it was sent',
    'service',
  );

  constructor(source: MetricsSource) {
    END_VERDICTS.forEach((verdict) => this.upstreamEnds.inc({ verdict }, 0));
    source.requestPhases.forEach((phase) => this.cutRequests.inc({ phase }, 0));
    this.#registerServices(source);
    this.#registerMembers(source);
    this.#registerTraffic(source);
    this.#registerGauge(
      'baobabline_configuration_version',
      'Version of the configuration in force',
      source.getConfigurationVersion,
    );
    this.#registerGauge(
      'baobabline_quarantined_requests',
      'Requests that are refused since upstreams ended with them in flight',
      source.countQuarantinedRequests,
    );
    this.#registerGauge(
      'baobabline_accounts_over_quota',
      'Client accounts with requests refused for their quotas lately',
      source.getAccountsOverQuota,
    );
    this.#registerGauge(
      'baobabline_quota_visible_part',
      'Part of the fleet whose use of the quotas of client accounts is known, from 0 to 1',
      source.getQuotaVisiblePart,
    );
    this.#registerGauge(
      'baobabline_store_revision',
      'Revision up to which changes are known',
      source.getRevision,
    );
    this.#registerGauge(
      'baobabline_store_era',
      'Newest era of the store that is known; rises with each restore from a copy',
      source.getStoreEra,
    );
    this.#registerGauge('baobabline_store_away', '1 while the store does not answer', () =>
      Number(source.isStoreUnavailable()),
    );
    this.#registerGauge('baobabline_dispatcher', '1 while callers are sent to this daemon', () =>
      Number(source.isDispatcher()),
    );
    this.#registerGauge(
      'baobabline_upstream_links_lost',
      '1 while this daemon reaches hardly any upstream',
      () => Number(source.isCutOff()),
    );
    this.#registerGauge(
      'baobabline_key_lease_age_seconds',
      'Time since the keys were last known to be those of the store; 0 where keys need no lease',
      () => source.getKeyLeaseAgeMs() / MS_PER_SECOND,
    );
    this.#registerGauge(
      'baobabline_configuration_outdated',
      '1 while the store holds a configuration that this daemon cannot use; 0 otherwise',
      () => Number(!source.isConfigurationNewest()),
    );
    this.#registerDownloads(source);
    this.#registerProcess();
    EXCEPTION_ORIGINS.forEach((origin) => this.exceptions.inc({ origin }, 0));
  }

  #createCounter<Label extends string>(
    name: string,
    help: string,
    labelNames: readonly Label[],
  ): Counter<Label> {
    return new Counter({ name, help, labelNames: [...labelNames], registers: [this.registry] });
  }

  #createHistogram<Label extends string>(
    name: string,
    help: string,
    label: Label,
  ): Histogram<Label> {
    const registers = [this.registry];
    const buckets = LATENCY_BUCKETS_SECONDS;
    return new Histogram({ name, help, labelNames: [label], buckets, registers });
  }

  #registerServices({ listServices }: MetricsSource): void {
    const upstreams: Gauge = new Gauge({
      name: 'baobabline_upstreams',
      help: 'Upstreams by service and what this daemon believes of them',
      labelNames: ['service', 'condition'],
      registers: [this.registry],
      collect: () =>
        listServices().forEach((row) =>
          CONDITIONS.forEach((condition) =>
            upstreams.set({ service: row.service, condition }, row.upstreams[condition]),
          ),
        ),
    });
    this.#registerServiceGauge(
      'baobabline_limited_upstreams',
      'Upstreams that have stated a rate limit',
      listServices,
      (row) => row.limitedUpstreams,
    );
    this.#registerServiceGauge(
      'baobabline_waiting_requests',
      'Requests that wait for room',
      listServices,
      (row) => row.queuedRequests,
    );
    this.#registerServiceGauge(
      'baobabline_repeat_allowance_share',
      'Part of the allowance for repeats that is left',
      listServices,
      (row) => row.retryBudgetShare,
    );
    this.#registerServiceGauge(
      'baobabline_retry_slack_share',
      "Part of the fleet's slack for retries that this daemon may use",
      listServices,
      (row) => row.retrySlackShare,
    );
    this.#registerServiceGauge(
      'baobabline_accounts_over_share',
      'Client accounts that have got more than their share of a service that is short of slots',
      listServices,
      (row) => row.accountsOverShare,
    );
  }

  #registerServiceGauge(
    name: string,
    help: string,
    listServices: () => readonly ServiceMetrics[],
    read: (row: ServiceMetrics) => number,
  ): void {
    const gauge: Gauge = new Gauge({
      name,
      help,
      labelNames: ['service'],
      registers: [this.registry],
      collect: () =>
        listServices().forEach((row) => gauge.set({ service: row.service }, read(row))),
    });
  }

  #registerMembers({ countMembers }: MetricsSource): void {
    const gauge: Gauge = new Gauge({
      name: 'baobabline_members',
      help: 'Members of the fleet by state as this daemon sees them',
      labelNames: ['state'],
      registers: [this.registry],
      collect: () => {
        gauge.reset();
        countMembers().forEach((count, state) => gauge.set({ state }, count));
      },
    });
  }

  #registerTraffic({ listTraffic }: MetricsSource): void {
    const gauge: Gauge = new Gauge({
      name: 'baobabline_traffic_bytes',
      help: 'Bytes exchanged with daemons and upstreams since the start, by purpose and distance',
      labelNames: ['purpose', 'distance'],
      registers: [this.registry],
      collect: () =>
        listTraffic().forEach(({ purpose, distance, bytes }) =>
          gauge.set({ purpose, distance }, bytes),
        ),
    });
  }

  #registerDownloads({ describeDownloads }: MetricsSource): void {
    this.#registerGauge(
      'baobabline_held_bytes',
      'Bytes of requests and answers that are held or reserved',
      () => describeDownloads().heldBytes,
    );
    this.#registerGauge(
      'baobabline_held_bytes_limit',
      'Most bytes that may be held',
      () => describeDownloads().maxHeldBytes,
    );
    this.#registerGauge(
      'baobabline_link_bytes',
      'Bytes that the link has to pass on, those of expected answers included',
      () => describeDownloads().linkBytes,
    );
    this.#registerGauge(
      'baobabline_request_bytes',
      'Mean bytes of a request and its answer, by which the advertised load counts requests',
      () => describeDownloads().requestBytes,
    );
  }

  #registerProcess(): void {
    this.#registerGauge('baobabline_resident_memory_bytes', 'Resident memory of the process', () =>
      process.memoryUsage.rss(),
    );
    this.#registerGauge('baobabline_cpu_seconds', 'Processor time of the process', () => {
      const { user, system } = process.cpuUsage();
      return (user + system) / MICROSECONDS_PER_SECOND;
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
