/**
 * A fleet in simulated time, for tests: each daemon has a scheduler and a view of the fleet of its
 * own, and all send to the same simulated upstreams. In each data centre the daemon that has run the
 * longest is the dispatcher. A daemon that is not heard is taken for dead after a while. Runs repeat
 * for the same seed. The caller mocks `setTimeout`.
 */
import {
  createRandom,
  DEFAULT_LINK_ESTIMATOR_SETTINGS,
  FailureEstimator,
  hashText,
  RateLimitShares,
} from '@baobabline/core';
import type { RandomSource, RateLimitStatement, Route } from '@baobabline/core';

import { computeUpstreamHash } from '../reports/index.js';
import {
  AttemptTimes,
  PeerLoads,
  RequestRun,
  ServiceScheduler,
  UpstreamState,
} from '../requests/index.js';
import {
  buildAnswerEnd,
  buildRoutedRequest,
  buildUpstreamRecord,
  NO_CRASH_GUARD,
  PLAIN_DIALECT,
} from '../requests/request-fixtures.js';
import type { RequestEnd, RoutedRequest } from '../requests/index.js';
import type { EndHandler, ExchangeRequest, UpstreamPool } from '../upstreams/index.js';
import type { ReportedRateLimit } from './rate-limit-message.js';
import { RateLimitReports } from './rate-limit-reports.js';
import type { UpstreamStatement } from './rate-limit-reports.js';
import { SimulatedView } from './simulated-view.js';

const WORK_MS = 60;
const LINK_MS = 2;
const TIMEOUT_MS = 1500;
const TARGET_LATENCY_MS = 500;
const SLOTS = 3;
const OK_STATUS = 200;
const MS_PER_SECOND = 1000;
const REPORT_DELAY_MS = 5;
const TICK_MS = 200;
/** Wall-clock time at the start of the simulation. */
const WALL_TIME_MS = 1_700_000_000_000;

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
  /** Daemons that are contacted first. */
  readonly seeds?: readonly string[];
  /** The rate limit that an upstream states in an answer, at a time of the simulation. */
  readonly getStatement: (upstream: string, now: number) => RateLimitStatement;
};

type SimulatedDaemon = {
  readonly id: string;
  readonly startedAt: number;
  readonly scheduler: ServiceScheduler;
  readonly times: AttemptTimes;
  readonly shares: RateLimitShares;
  readonly reports: RateLimitReports;
  readonly view: SimulatedView;
};

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

  /** Directions in which nothing passes between two daemons, as 'from to'. */
  #cut: ReadonlySet<string> = new Set();

  #left: readonly string[] = [];

  #paused: readonly string[] = [];

  constructor(options: SimulatedFleetOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    options.daemons.forEach((id) => this.startDaemon(id));
    this.#refreshViews();
  }

  get now(): number {
    return this.#now;
  }

  /** Starts a daemon, or starts it anew without anything that it knew. */
  startDaemon(id: string): void {
    this.killDaemon(id);
    this.#left = this.#left.filter((one) => one !== id);
    const view = new SimulatedView();
    const shares = new RateLimitShares(id, {
      clock: { now: () => this.#now },
      getWallTime: () => WALL_TIME_MS + this.#now,
      hash: hashText,
      getRevision: () => view.revision,
      listMembers: () => view.listMembers(),
      listUnknownSeeds: () => view.listUnknown(this.#options.seeds ?? []),
      listDispatchers: () => view.dispatchers,
      // Daemons of the simulation stop at once.
      isLeaving: () => false,
    });
    const reports = new RateLimitReports({
      clock: { now: () => this.#now },
      listOwnStatements: () => this.#listOwnStatements(id),
      countRecipients: () => this.#daemons.size - 1,
      send: (limits) => this.#sendReport(id, limits),
    });
    const scheduler = this.#createScheduler(id, shares, reports);
    const times = new AttemptTimes();
    const startedAt = this.#now;
    this.#daemons.set(id, { id, startedAt, scheduler, times, shares, reports, view });
    scheduler.applyRecords(
      this.#options.upstreams.map((upstream) => buildUpstreamRecord(upstream, SLOTS)),
    );
  }

  /** Ends a daemon at once; the others notice later. */
  killDaemon(id: string): void {
    this.#daemons.get(id)?.reports.stop();
    this.#daemons.delete(id);
  }

  /** Ends a daemon that has told the others. */
  stopDaemon(id: string): void {
    this.killDaemon(id);
    this.#left = [...this.#left, id];
  }

  /** Pauses a daemon; it knows nothing of the time that passes until it is resumed. */
  pauseDaemon(id: string): void {
    this.#paused = [...this.#paused, id];
  }

  resumeDaemon(id: string): void {
    this.#paused = this.#paused.filter((one) => one !== id);
  }

  /** Cuts the fleet in parts that do not reach each other; all daemons in one part heal it. */
  split(parts: readonly (readonly string[])[]): void {
    const partOf = (id: string): number => parts.findIndex((part) => part.includes(id));
    const { daemons } = this.#options;
    const pairs = daemons.flatMap((from) => daemons.map((to) => [from, to] as const));
    this.#cut = new Set(
      pairs
        .filter(([from, to]) => partOf(from) !== partOf(to))
        .map(([from, to]) => `${from} ${to}`),
    );
  }

  /** Cuts the way from some daemons to others, in this direction only. */
  silence(from: readonly string[], to: readonly string[]): void {
    this.#cut = new Set(from.flatMap((sender) => to.map((receiver) => `${sender} ${receiver}`)));
  }

  /** Whether a daemon takes itself for a dispatcher. */
  isDispatcher(id: string): boolean {
    return this.#daemons.get(id)?.view.dispatchers.some((one) => one.id === id) ?? false;
  }

  /** Daemons that run, paused ones not included. */
  listRunning(): readonly string[] {
    return [...this.#daemons.keys()].filter((id) => !this.#paused.includes(id));
  }

  /** Advances the simulated time by one step; the caller advances its timers by the same. */
  advance(stepMs: number): void {
    this.#now += stepMs;
    if (this.#now % TICK_MS !== 0) return;
    this.#refreshViews();
    this.listRunning().forEach((id) => {
      this.#daemons.get(id)?.shares.refresh();
      this.#daemons.get(id)?.reports.runTick();
    });
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
    if (!daemon || this.#paused.includes(daemonId)) return;
    const startedAt = this.#now;
    const run = new RequestRun(
      this.#buildRequest(kind),
      daemon.scheduler,
      {
        clock: { now: () => this.#now },
        random: this.#random,
        dialect: PLAIN_DIALECT,
        times: daemon.times,
        crashGuard: NO_CRASH_GUARD,
        onLoadChange: () => undefined,
        checkCaller: () => undefined,
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

  #refreshViews(): void {
    const running = this.listRunning();
    const order = [...running].sort(
      (left, right) =>
        (this.#daemons.get(left)?.startedAt ?? 0) - (this.#daemons.get(right)?.startedAt ?? 0),
    );
    running.forEach((id) => {
      const heard = order.filter((other) => !this.#cut.has(`${other} ${id}`));
      this.#daemons.get(id)?.view.apply(heard, this.#left, this.#now);
    });
  }

  #listOwnStatements(daemonId: string): readonly UpstreamStatement[] {
    const upstreams = this.#daemons.get(daemonId)?.scheduler.listUpstreams() ?? [];
    return upstreams.flatMap(({ record, rateLimit: { ownStatement } }) =>
      ownStatement ? [{ ...ownStatement, upstreamId: record.id }] : [],
    );
  }

  #sendReport(from: string, limits: readonly ReportedRateLimit[]): void {
    if (this.#paused.includes(from)) return;
    const receivers = this.listRunning().filter(
      (to) => to !== from && !this.#cut.has(`${from} ${to}`),
    );
    setTimeout(() => receivers.forEach((to) => this.#applyReport(to, limits)), REPORT_DELAY_MS);
  }

  #applyReport(daemonId: string, limits: readonly ReportedRateLimit[]): void {
    const upstreams = this.#daemons.get(daemonId)?.scheduler.listUpstreams() ?? [];
    limits.forEach(({ upstream, perSecond, ageMs }) =>
      upstreams
        .find(({ record }) => computeUpstreamHash(record.id) === upstream)
        ?.rateLimit.applyReport({ perSecond, statedAt: this.#now - ageMs }),
    );
  }

  #createScheduler(
    daemon: string,
    shares: RateLimitShares,
    reports: RateLimitReports,
  ): ServiceScheduler {
    const clock = { now: () => this.#now };
    return new ServiceScheduler('s', {
      clock,
      random: this.#random,
      trust: new FailureEstimator(),
      links: new FailureEstimator(DEFAULT_LINK_ESTIMATOR_SETTINGS),
      peerLoads: new PeerLoads(clock),
      dataCentre: 'z1',
      hasDispatcher: () => true,
      allowance: { windowMs: 10_000, ratio: 0.2, fleetSlack: 50, getSlackShare: () => 1 / 3 },
      findOwnPart: () => undefined,
      createUpstream: (record) => new UpstreamState(record, this.#createPool(daemon, record.id), 0),
      onAnswer: () => undefined,
      onTrustChange: () => undefined,
      onLinkChange: () => undefined,
      isCutOff: () => false,
      onFailure: () => undefined,
      getRateLimitShare: (upstream) => shares.getShare(upstream),
      onRateLimitChange: () => reports.recordChange(),
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
    onEnd(buildAnswerEnd(OK_STATUS, { rateLimit }));
  }

  #buildRequest(kind: Route['kind']): RoutedRequest {
    this.#requestCount += 1;
    return buildRoutedRequest(`req-${this.#requestCount}`, this.#now, kind, {
      timeoutMs: TIMEOUT_MS,
      targetLatencyMs: TARGET_LATENCY_MS,
    });
  }
}
