/**
 * A fleet of dispatchers in simulated time, for tests: each has a scheduler of its own, and all send to
 * the same simulated upstreams. Runs repeat for the same seed. The caller mocks `setTimeout`.
 */
import { createRandom, DEFAULT_LINK_ESTIMATOR_SETTINGS, FailureEstimator } from '@baobabline/core';
import type { RandomSource, RateLimitStatement, RegisteredUpstream, Route } from '@baobabline/core';

import type { AnswerHead, HttpDialect } from '../dialect/index.js';
import type { EndHandler, ExchangeRequest, UpstreamPool } from '../upstreams/index.js';
import { AttemptTimes } from './attempt-times.js';
import { PeerLoads } from './peer-loads.js';
import { RequestRun } from './request-run.js';
import { ServiceScheduler } from './service-scheduler.js';
import type { RequestEnd, RoutedRequest } from './types.js';
import { UpstreamState } from './upstream-state.js';

const WORK_MS = 60;
const LINK_MS = 2;
const MAX_ATTEMPTS = 2;
const TIMEOUT_MS = 1500;
const CALLER_TIMEOUT_MS = 2000;
const SLOTS = 3;
const OK_STATUS = 200;
const MS_PER_SECOND = 1000;

const HEAD: AnswerHead = {
  requestId: undefined,
  isNotRun: false,
  isSigned: true,
  load: undefined,
  keepAliveMs: undefined,
  rateLimit: undefined,
};

const dialect: HttpDialect = {
  ownHeaders: new Set(),
  readCallerHead: () => ({ requestId: undefined, timeAllowedMs: undefined }),
  readAnswerHead: () => HEAD,
  buildUpstreamHeaders: () => [],
};

/** A request as it reached an upstream, in milliseconds of simulated time. */
export type Arrival = { readonly at: number; readonly daemon: string; readonly upstream: string };

/** How a request ended for its caller. */
export type End = {
  readonly at: number;
  readonly daemon: string;
  readonly waitedMs: number;
  readonly end: RequestEnd;
};

export type SimulatedFleetOptions = {
  readonly seed: number;
  readonly daemons: readonly string[];
  readonly upstreams: readonly string[];
  /** The rate limit that an upstream states in an answer, at a time of the simulation. */
  readonly getStatement: (upstream: string, now: number) => RateLimitStatement;
};

type SimulatedDaemon = {
  readonly id: string;
  readonly scheduler: ServiceScheduler;
  readonly times: AttemptTimes;
};

function buildRecord(id: string): RegisteredUpstream {
  return {
    id,
    service: 's',
    address: '10.0.0.1',
    port: 80,
    dataCentre: 'z1',
    slots: SLOTS,
    state: 'ready',
    warmUpMs: 0,
    bornAt: 1,
  };
}

export class SimulatedFleet {
  readonly arrivals: Arrival[] = [];

  readonly ends: End[] = [];

  readonly #options: SimulatedFleetOptions;

  readonly #random: RandomSource;

  readonly #daemons = new Map<string, SimulatedDaemon>();

  /** When a daemon first received an answer that states a limit, by daemon and upstream. */
  readonly #firstStatedAt = new Map<string, number>();

  #now = 0;

  #requestCount = 0;

  constructor(options: SimulatedFleetOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    options.daemons.forEach((id) => this.startDaemon(id));
  }

  get now(): number {
    return this.#now;
  }

  /** Starts a daemon, or starts it anew without anything that it knew. */
  startDaemon(id: string): void {
    const scheduler = this.#createScheduler(id);
    this.#daemons.set(id, { id, scheduler, times: new AttemptTimes() });
    scheduler.applyRecords(this.#options.upstreams.map(buildRecord));
  }

  /** Advances the simulated time by one step; the caller advances its timers by the same. */
  advance(stepMs: number): void {
    this.#now += stepMs;
  }

  /** Lets requests arrive at a daemon at random during one step. */
  drawRequests(daemon: string, ratePerSecond: number, stepMs: number): void {
    if (this.#random.next() < (ratePerSecond * stepMs) / MS_PER_SECOND) this.sendRequest(daemon);
  }

  /** Sends a caller's request to a daemon; without a kind, a random one. */
  sendRequest(
    daemonId: string,
    kind: Route['kind'] = this.#random.next() < 0.5 ? 'safe' : 'unsafe',
  ): void {
    const daemon = this.#daemons.get(daemonId);
    if (!daemon) return;
    const startedAt = this.#now;
    const run = new RequestRun(
      this.#buildRequest(kind),
      daemon.scheduler,
      {
        clock: { now: () => this.#now },
        random: this.#random,
        dialect,
        times: daemon.times,
        onLoadChange: () => undefined,
        onBytes: () => undefined,
        onStep: () => undefined,
      },
      (end) => {
        const waitedMs = this.#now - startedAt;
        this.ends.push({ at: this.#now, daemon: daemonId, waitedMs, end });
      },
    );
    run.start();
  }

  /**
   * Lists the requests that count towards an upstream's limit: those from daemons that had received
   * an answer which states it so many milliseconds before.
   */
  listCountedArrivals(upstream: string, informedMs: number): readonly Arrival[] {
    return this.arrivals.filter((arrival) => {
      const statedAt = this.#firstStatedAt.get(`${arrival.daemon} ${upstream}`) ?? Infinity;
      return arrival.upstream === upstream && arrival.at >= statedAt + informedMs;
    });
  }

  #createScheduler(daemon: string): ServiceScheduler {
    const clock = { now: () => this.#now };
    return new ServiceScheduler('s', {
      clock,
      random: this.#random,
      trust: new FailureEstimator(),
      links: new FailureEstimator(DEFAULT_LINK_ESTIMATOR_SETTINGS),
      peerLoads: new PeerLoads(clock),
      dataCentre: 'z1',
      hasDispatcher: () => true,
      allowance: { windowMs: 10_000, ratio: 0.2, fleetSlack: 50, countDaemons: () => 3 },
      createUpstream: (record) => new UpstreamState(record, this.#createPool(daemon, record.id), 0),
      onAnswer: () => undefined,
      onTrustChange: () => undefined,
      onLinkChange: () => undefined,
      onRateLimitChange: () => undefined,
    });
  }

  #createPool(daemon: string, upstream: string): UpstreamPool {
    return {
      send: (_request: ExchangeRequest, _isRepeatable: boolean, onEnd: EndHandler) => {
        setTimeout(() => this.#recordArrival(daemon, upstream), LINK_MS);
        const timer = setTimeout(
          () => this.#answer(daemon, upstream, onEnd),
          LINK_MS + WORK_MS + this.#random.next() * WORK_MS,
        );
        return { abort: () => clearTimeout(timer) };
      },
      close: () => undefined,
      closeIdle: () => undefined,
      runTick: () => undefined,
    } as unknown as UpstreamPool;
  }

  #recordArrival(daemon: string, upstream: string): void {
    this.arrivals.push({ at: this.#now, daemon, upstream });
  }

  #answer(daemon: string, upstream: string, onEnd: EndHandler): void {
    const rateLimit = this.#options.getStatement(upstream, this.#now);
    const key = `${daemon} ${upstream}`;
    if (rateLimit !== undefined && !this.#firstStatedAt.has(key)) {
      this.#firstStatedAt.set(key, this.#now);
    }
    onEnd({
      kind: 'answered',
      isLeaving: false,
      answer: {
        status: OK_STATUS,
        statusText: '',
        headers: [],
        body: [],
        bodyBytes: 0,
        head: { ...HEAD, rateLimit },
      },
    });
  }

  #buildRequest(kind: Route['kind']): RoutedRequest {
    this.#requestCount += 1;
    const route: Route = {
      id: 'r',
      host: 'h',
      prefix: '/',
      kind,
      parts: [{ service: 's', weight: 1 }],
      timeoutMs: TIMEOUT_MS,
      targetLatencyMs: 500,
      maxAttempts: MAX_ATTEMPTS,
      priority: 0,
    };
    return {
      id: `req-${this.#requestCount}`,
      route,
      service: 's',
      method: 'GET',
      target: '/',
      headers: [],
      body: [],
      bodyBytes: 0,
      arrivedAt: this.#now,
      callerEndAt: this.#now + CALLER_TIMEOUT_MS,
      endAt: this.#now + TIMEOUT_MS,
    };
  }
}
