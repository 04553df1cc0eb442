/**
 * The services that the configuration and the records name, and the requests under way at them.
 */
import {
  AccountParts,
  DEFAULT_LINK_ESTIMATOR_SETTINGS,
  WeightedRoundRobin,
  RouteTable,
  FailureEstimator,
} from '@baobabline/core';
import type {
  Clock,
  GetFleetRate,
  RandomSource,
  RegisteredUpstream,
  RateLimitChange,
  Replica,
  RequestError,
  Route,
  TrustChange,
  AttemptOutcome,
} from '@baobabline/core';

import type { HttpDialect } from '../dialect/index.js';
import type { HeldBytes } from '../held-bytes/index.js';
import type { ReportedRateLimit, UpstreamStatement } from '../rate-limits/index.js';
import { computeUpstreamHash } from '../reports/index.js';
import type { DispatcherReport } from '../reports/index.js';
import {
  AttemptTimes,
  FarRouting,
  LeavingStarts,
  PeerLoads,
  RequestRun,
  ServiceScheduler,
  UpstreamState,
} from '../requests/index.js';
import type {
  CrashGuard,
  DownloadControl,
  FarTraffic,
  JudgedAnswer,
  PlacedRequest,
  RequestEnd,
  RequestStep,
  RoutedRequest,
} from '../requests/index.js';
import type { GatewaySettings } from '../settings/index.js';
import { UpstreamPool } from '../upstreams/index.js';

export type ServicePorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly settings: GatewaySettings;
  readonly dialect: HttpDialect;
  /** Accounts for answers while they come in. */
  readonly heldBytes: HeldBytes;
  readonly replica: Replica;
  /** Part of the slack of the retry budget that this daemon may use, from 0 to 1. */
  readonly getRetrySlackShare: () => number;
  /** Requests per second of an account over the fleet; by default this daemon's own counts decide. */
  readonly getFleetRate?: GetFleetRate;
  /** Whether callers are sent to a daemon of a data centre. */
  readonly hasDispatcher: (dataCentre: string) => boolean;
  readonly onStep: (request: RoutedRequest, step: RequestStep) => void;
  /** Called with what other dispatchers should know of an upstream. */
  readonly onOutcome: (event: AttemptOutcome) => void;
  readonly onTrustChange: (upstreamId: string, change: TrustChange) => void;
  /** Called when an upstream can no longer be reached from here, or again. */
  readonly onLinkChange: (upstreamId: string, change: TrustChange) => void;
  /** Part of an upstream's rate limit that this daemon may use now, from 0 to 1. */
  readonly getRateLimitShare: (upstreamId: string) => number;
  /** Called when an upstream's rate limit changes, by one of this daemon's answers or a report. */
  readonly onRateLimitChange: (
    upstreamId: string,
    change: RateLimitChange,
    source: 'answer' | 'report',
  ) => void;
  /** Whether this daemon has lost its links to most upstreams. */
  readonly isCutOff: () => boolean;
  /** Called when a connection to an upstream could not be opened or used, or brought no answer. */
  readonly onUpstreamFailure: (upstreamId: string) => void;
  /** What keeps requests from upstreams that they would end. */
  readonly getCrashGuard: () => CrashGuard;
  /** What decides on downloads; undefined where the configuration has none. */
  readonly getDownloads?: () => DownloadControl | undefined;
  /** Called once for each start of an upstream that states in an answer that it leaves. */
  readonly onLeaving: (upstreamId: string) => void;
  readonly onLoadChange: () => void;
  /** Returns why a request may no longer be sent to an upstream. */
  readonly checkCaller: (request: RoutedRequest) => RequestError | undefined;
  /** The data centre of another daemon, if it is known. */
  readonly findDataCentre: (daemonId: string) => string | undefined;
  /** Called with what is sent to other data centres where that is decided for each request. */
  readonly onFarTraffic: (traffic: FarTraffic) => void;
  readonly onFarShare: (service: string, share: number) => void;
  /** Called with the bytes of a request or an answer, and the upstream's data centre. */
  readonly onBytes: (kind: 'requests' | 'answers', dataCentre: string, bytes: number) => void;
};

function groupByService(
  upstreams: readonly RegisteredUpstream[],
): ReadonlyMap<string, readonly RegisteredUpstream[]> {
  const groups = new Map<string, RegisteredUpstream[]>();
  upstreams.forEach((upstream) => {
    const group = groups.get(upstream.service);
    if (group) group.push(upstream);
    else groups.set(upstream.service, [upstream]);
  });
  return groups;
}

export class RoutedServices {
  readonly #peerLoads: PeerLoads;

  readonly #ports: ServicePorts;

  readonly #desks = new Map<string, ServiceScheduler>();

  readonly #trust = new FailureEstimator();

  readonly #links = new FailureEstimator(DEFAULT_LINK_ESTIMATOR_SETTINGS);

  readonly #times = new AttemptTimes();

  readonly #accountParts: AccountParts;

  readonly #leavingStarts = new LeavingStarts();

  readonly #parts = new WeightedRoundRobin();

  #routes: RouteTable | undefined;

  #seenChanges = -1;

  /** Ids of upstreams by their names in reports. */
  #reportNames: ReadonlyMap<number, string> = new Map();

  constructor(ports: ServicePorts) {
    this.#ports = ports;
    this.#peerLoads = new PeerLoads(ports.clock);
    this.#accountParts = new AccountParts(ports.clock, ports.getFleetRate ?? (() => undefined));
  }

  /** The routes in force; undefined before the first configuration. */
  get routes(): RouteTable | undefined {
    return this.#routes;
  }

  listDesks(): readonly ServiceScheduler[] {
    return [...this.#desks.values()];
  }

  listUpstreams(): readonly UpstreamState[] {
    return this.listDesks().flatMap((desk) => desk.listUpstreams());
  }

  /** Upstreams to which connections could be opened lately. */
  listReachableUpstreams(): readonly UpstreamState[] {
    const now = this.#ports.clock.now();
    return this.listUpstreams().filter(({ record }) => !this.#links.isSuspect(record.id, now));
  }

  /** Upstreams and the requests of this daemon in flight there, where there are any. */
  listInFlight(): readonly (readonly [string, number])[] {
    return this.listUpstreams()
      .filter(({ inFlight }) => inFlight > 0)
      .map(({ record, inFlight }) => [record.id, inFlight] as const);
  }

  chooseService(route: Route): string {
    return this.#parts.choose(route);
  }

  /** Brings routes and upstreams in line with the replica; returns whether routes changed. */
  refresh(): boolean {
    const { replica } = this.#ports;
    if (replica.changeCount === this.#seenChanges) return false;
    this.#seenChanges = replica.changeCount;
    const hasNewRoutes = this.#refreshRoutes();
    const groups = groupByService(replica.listUpstreams());
    const ids = replica.listUpstreams().map(({ id }) => id);
    this.#trust.keep(new Set(ids));
    this.#links.keep(new Set(ids));
    this.#reportNames = new Map(ids.map((id) => [computeUpstreamHash(id), id]));
    const names = new Set([...groups.keys(), ...this.#desks.keys()]);
    names.forEach((name) => this.#getDesk(name).applyRecords(groups.get(name) ?? []));
    return hasNewRoutes;
  }

  serve(request: RoutedRequest, onEnd: (end: RequestEnd) => void): PlacedRequest {
    const desk = this.#getDesk(request.service);
    if (request.caller) this.#accountParts.recordArrival(request.caller.account.name);
    const run = new RequestRun(
      request,
      desk,
      {
        ...this.#ports,
        times: this.#times,
        crashGuard: this.#ports.getCrashGuard(),
        downloads: this.#ports.getDownloads?.(),
      },
      onEnd,
    );
    run.start();
    return run;
  }

  /** Takes in what another dispatcher has reported. */
  applyReport({ reporterId, inFlight, outcomes }: DispatcherReport): void {
    const now = this.#ports.clock.now();
    if (inFlight) this.#recordLoad(reporterId, inFlight);
    outcomes.forEach(({ upstream, isGood, ageMs }) => {
      const upstreamId = this.#reportNames.get(upstream);
      if (upstreamId !== undefined) this.#applyOutcome(upstreamId, isGood, now - ageMs);
    });
  }

  /** Upstreams whose newest known statement about a rate limit came in an answer to this daemon. */
  listOwnRateLimits(): readonly UpstreamStatement[] {
    return this.listUpstreams().flatMap(({ record, rateLimit: { ownStatement } }) =>
      ownStatement ? [{ ...ownStatement, upstreamId: record.id }] : [],
    );
  }

  /** Applies the rate limits that another daemon reports. */
  applyRateLimits(limits: readonly ReportedRateLimit[]): void {
    const now = this.#ports.clock.now();
    limits.forEach(({ upstream, perSecond, ageMs }) => {
      const id = this.#reportNames.get(upstream);
      const state = id === undefined ? undefined : this.#findUpstream(id);
      const change = state?.rateLimit.applyReport({ perSecond, statedAt: now - ageMs });
      if (id !== undefined && change) this.#ports.onRateLimitChange(id, change, 'report');
    });
  }

  runTick(): void {
    this.#desks.forEach((desk) => desk.runTick());
  }

  close(): void {
    this.#desks.forEach((desk) => desk.applyRecords([]));
  }

  #recordLoad(reporterId: string, inFlight: readonly (readonly [number, number])[]): void {
    this.#peerLoads.record(reporterId, inFlight);
    const { settings, findDataCentre } = this.#ports;
    const dataCentre = settings.farPlacement && findDataCentre(reporterId);
    if (dataCentre === undefined) return;
    const reported = new Map(inFlight);
    this.#desks.forEach((desk) =>
      desk.far?.recordReport(reporterId, dataCentre, reported, desk.listUpstreams()),
    );
  }

  #findUpstream(id: string): UpstreamState | undefined {
    return this.listDesks()
      .map((desk) => desk.find(id))
      .find((state) => state !== undefined);
  }

  #applyOutcome(upstreamId: string, isGood: boolean, at: number): void {
    const change = this.#trust.record({ upstreamId, isGood, at });
    if (change) this.#ports.onTrustChange(upstreamId, change);
  }

  /** A good answer of an upstream that was trusted is no news to anybody. */
  #handleAnswer({ upstreamId, isGood, at, wasSuspect, change }: JudgedAnswer): void {
    if (!isGood || wasSuspect) this.#ports.onOutcome({ upstreamId, isGood, at });
    if (change) this.#ports.onTrustChange(upstreamId, change);
  }

  #refreshRoutes(): boolean {
    const { configuration } = this.#ports.replica;
    if (!configuration || configuration === this.#routes?.configuration) return false;
    this.#routes = new RouteTable(configuration);
    this.#parts.keep(new Set(configuration.routes.map(({ id }) => id)));
    this.#accountParts.keep(new Set(configuration.accounts?.map(({ name }) => name)));
    return true;
  }

  #getDesk(name: string): ServiceScheduler {
    const known = this.#desks.get(name);
    if (known) return known;
    const { clock, random, settings, getRetrySlackShare } = this.#ports;
    const { retryRatio, retrySlack, retryWindowMs } = settings.bounds;
    const desk = new ServiceScheduler(name, {
      clock,
      random,
      trust: this.#trust,
      links: this.#links,
      peerLoads: this.#peerLoads,
      dataCentre: settings.dataCentre,
      hasDispatcher: this.#ports.hasDispatcher,
      allowance: {
        ratio: retryRatio,
        fleetSlack: retrySlack,
        windowMs: retryWindowMs,
        getSlackShare: getRetrySlackShare,
      },
      findOwnPart: (account) => this.#accountParts.findOwnPart(account),
      createUpstream: (record) => this.#createUpstream(record),
      onAnswer: (judged) => this.#handleAnswer(judged),
      boundsBodies: () => this.#ports.getDownloads?.() !== undefined,
      isCutOff: this.#ports.isCutOff,
      onFailure: this.#ports.onUpstreamFailure,
      onTrustChange: this.#ports.onTrustChange,
      onLinkChange: this.#ports.onLinkChange,
      getRateLimitShare: this.#ports.getRateLimitShare,
      onRateLimitChange: (id, change) => this.#ports.onRateLimitChange(id, change, 'answer'),
      far: this.#createFarRouting(name),
    });
    this.#desks.set(name, desk);
    return desk;
  }

  #createFarRouting(service: string): FarRouting | undefined {
    const { clock, random, settings, hasDispatcher, onFarTraffic, onFarShare } = this.#ports;
    const { dataCentre, farPlacement } = settings;
    if (!farPlacement) return undefined;
    return new FarRouting({
      clock,
      random,
      service,
      dataCentre,
      settings: farPlacement,
      trust: this.#trust,
      links: this.#links,
      hasDispatcher,
      countSlots: (state) => this.#getDesk(service).countSlots(state),
      onTraffic: onFarTraffic,
      onShareChange: onFarShare,
    });
  }

  #createUpstream(record: RegisteredUpstream): UpstreamState {
    const { clock, dialect, heldBytes } = this.#ports;
    const pool = new UpstreamPool({
      address: record.address,
      port: record.port,
      upstreamId: record.id,
      dialect,
      heldBytes,
      now: clock.now,
      onLeaving: () => this.#handleLeaving(record),
    });
    const state = new UpstreamState(record, pool, clock.now() + record.warmUpMs);
    if (this.#leavingStarts.has(record)) state.recordLeaving();
    return state;
  }

  #handleLeaving(record: RegisteredUpstream): void {
    if (this.#leavingStarts.has(record)) return;
    this.#leavingStarts.add(record);
    this.#ports.onLeaving(record.id);
    const state = this.#findUpstream(record.id);
    if (state?.record.bornAt === record.bornAt) state.recordLeaving();
  }
}
