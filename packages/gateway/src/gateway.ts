/**
 * Puts a gateway daemon together: it listens, learns what is published, finds its peers, and
 * carries out what the core decides.
 */
import { AdvertisedLoad, Replica } from '@baobabline/core';
import type { RouteTable } from '@baobabline/core';
import { createLog, createProcessRandom, systemClock } from '@baobabline/daemon';
import type { Log } from '@baobabline/daemon';
import type { Server } from 'node:http';
import { setTimeout as wait } from 'node:timers/promises';

import type {
  DirectoryAnswer,
  DirectoryQuestion,
  PlatformPorts,
  RecordSource,
} from './dialect/index.js';
import { createDirectoryServer, createReadinessServer } from './directory/index.js';
import { CallerServer } from './edge/index.js';
import { FleetSocket } from './datagrams/index.js';
import type { DatagramTag } from './datagrams/index.js';
import { FleetLinks, TrafficMeter } from './fleet/index.js';
import type { TrafficPurpose } from './fleet/index.js';
import { closeServer, HttpCalls, listenOn } from './http/index.js';
import { RecordExchange } from './record-sync/index.js';
import { createMetricsServer, GatewayMetrics } from './metrics/index.js';
import { createPeerServer } from './peers/index.js';
import { RequestRecords } from './records/index.js';
import { DispatcherReports, formatReport, ReportInbox } from './reports/index.js';
import type { DispatcherReport, ReportAudience } from './reports/index.js';
import type { RequestEnd, RoutedRequest } from './requests/index.js';
import { RoutedServices } from './services/index.js';
import type { GatewaySettings } from './settings/index.js';

const SYSTEM_TICK_MS = 200;
const STOP_POLL_MS = 50;
/** Some callers keep a directory answer three times as long as they are told. */
const HOLD_FACTOR = 3;
/** A planned stop ends so long before the process would be killed. */
const STOP_MARGIN_MS = 900;
/** Peers that do not answer must not hold a stop up. */
const FAREWELL_MS = 150;
/** A daemon that starts hears of the others before it reads the store for them. */
const JOIN_FIRST_MS = 300;
const KEEP_ALIVE_MS = 30_000;
const TRAFFIC_LOG_MS = 10_000;
/** How long a daemon that serves nobody gathers changes of the records. */
const IDLE_REFRESH_MS = 300;
/**
 * Daemons among which the fleet's slack for repeats is divided at least: one that has just started, or
 * is cut off, knows few of those that exist.
 */
const MIN_DAEMON_COUNT = 64;
const MS_PER_SECOND = 1000;

const PURPOSES: Readonly<Record<DatagramTag, TrafficPurpose>> = {
  report: 'reports',
  gossip: 'membership',
  'gossip-answer': 'membership',
  probe: 'membership',
  'probe-answer': 'membership',
  poll: 'records',
  news: 'records',
};

export type GatewayPhase = 'joining' | 'serving' | 'leaving' | 'stopped';

export class Gateway {
  readonly #settings: GatewaySettings;

  readonly #platform: PlatformPorts;

  readonly #clock = systemClock;

  readonly #random = createProcessRandom();

  readonly #log: Log;

  readonly #replica = new Replica();

  readonly #services: RoutedServices;

  readonly #fleet: FleetLinks;

  readonly #source: RecordSource;

  readonly #exchange: RecordExchange;

  readonly #reports: DispatcherReports;

  readonly #socket: FleetSocket;

  /** Calls to other daemons. */
  readonly #calls = new HttpCalls({ connections: 2, keepAliveMs: KEEP_ALIVE_MS });

  readonly #traffic = new TrafficMeter();

  readonly #callers: CallerServer;

  readonly #load: AdvertisedLoad;

  readonly #metrics: GatewayMetrics;

  readonly #records: RequestRecords;

  /** Set while changes of the records wait to be taken in by the services. */
  #refreshTimer: NodeJS.Timeout | undefined;

  #phase: GatewayPhase = 'joining';

  #servers: readonly Server[] = [];

  #timers: readonly NodeJS.Timeout[] = [];

  constructor(settings: GatewaySettings, platform: PlatformPorts) {
    this.#settings = settings;
    this.#platform = platform;
    this.#log = createLog(settings, this.#random);
    this.#source = platform.createSource((key, reason) =>
      this.#log.warn('record-unusable', { key, reason }),
    );
    this.#socket = this.#createSocket();
    this.#services = this.#createServices();
    this.#fleet = this.#createFleet();
    this.#exchange = this.#createExchange();
    this.#reports = this.#createReports();
    this.#callers = this.#createCallers();
    this.#metrics = this.#createMetrics();
    this.#records = new RequestRecords({
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
    });
    this.#load = new AdvertisedLoad(this.#fleet.membership.self.capacity, this.#clock);
  }

  get phase(): GatewayPhase {
    return this.#phase;
  }

  /** Listens and joins the fleet; resolves once requests are served. */
  async start(): Promise<void> {
    const { callers, directory, readiness, peers, reports } = this.#settings;
    const peerServer = this.#createPeerServer();
    const directoryServer = createDirectoryServer({
      dialect: this.#platform.directory,
      answer: (question, caller) => this.#answerDirectory(question, caller),
    });
    const readinessServer = createReadinessServer({
      dialect: this.#platform.directory,
      isReady: () => this.#phase === 'serving',
    });
    this.#servers = [peerServer, directoryServer, readinessServer];
    await Promise.all([
      listenOn(peerServer, peers.address, peers.port),
      listenOn(directoryServer, directory.address, directory.port),
      listenOn(readinessServer, readiness.address, readiness.port),
      this.#callers.listen(callers.address, callers.port),
      this.#socket.listen(reports.address),
    ]);
    this.#log.info('started', { sinceStartMs: Math.round(performance.now()) });
    this.#startTimers();
    await Promise.race([this.#fleet.gossip.join(), wait(JOIN_FIRST_MS)]);
    this.#exchange.start();
    await this.#waitForConfiguration();
    if (this.#phase !== 'joining') return;
    this.#phase = 'serving';
    this.#log.info('serving', { sinceStartMs: Math.round(performance.now()) });
    await this.#fleet.announceState('serving');
    await this.#startMetrics().catch((error: Error) =>
      this.#log.warn('metrics-fault', { reason: error.message }),
    );
  }

  /** Stops without cutting a request: out of the directory first, then out of work. */
  async stop(): Promise<void> {
    if (this.#phase === 'leaving' || this.#phase === 'stopped') return;
    this.#phase = 'leaving';
    const startedAt = this.#clock.now();
    this.#callers.startLeaving();
    this.#log.info('leaving', { openRequests: this.#callers.openRequests });
    const announced = this.#fleet.announceState('leaving');
    await Promise.race([announced, wait(FAREWELL_MS)]);
    await this.#waitUntilIdle(startedAt);
    this.#phase = 'stopped';
    await Promise.race([this.#fleet.announceState('left'), wait(FAREWELL_MS)]);
    await this.#close();
    this.#log.info('stopped', { afterMs: Math.round(this.#clock.now() - startedAt) });
  }

  /** Notes that the settings file has changed. */
  recordReload(): void {
    this.#log.info('settings-changed', { effect: 'taken at the next start' });
  }

  async #startMetrics(): Promise<void> {
    const { metrics } = this.#settings;
    if (!metrics) return;
    const server = createMetricsServer(
      async () => this.#metrics.describe(),
      (reason) => this.#log.warn('metrics-fault', { reason }),
    );
    this.#servers = [...this.#servers, server];
    await listenOn(server, metrics.address, metrics.port);
  }

  async #waitUntilIdle(startedAt: number): Promise<void> {
    const age = this.#clock.now() - startedAt;
    const latest = this.#settings.bounds.stopGraceMs - STOP_MARGIN_MS;
    const held = this.#settings.directoryHoldSeconds * HOLD_FACTOR * MS_PER_SECOND;
    const isQuiet = this.#callers.openRequests === 0 && age >= Math.min(held, latest);
    if (isQuiet || age >= latest) return;
    await wait(STOP_POLL_MS);
    await this.#waitUntilIdle(startedAt);
  }

  async #close(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    clearTimeout(this.#refreshTimer);
    this.#exchange.stop();
    this.#services.close();
    this.#reports.stop();
    this.#socket.close();
    await this.#callers.close();
    await Promise.all(this.#servers.map(closeServer));
    this.#fleet.close();
    this.#calls.close();
    this.#source.close();
  }

  async #waitForConfiguration(): Promise<void> {
    if (this.#services.routes || this.#phase !== 'joining') return;
    await wait(STOP_POLL_MS);
    await this.#waitForConfiguration();
  }

  #startTimers(): void {
    this.#fleet.start();
    this.#timers = [
      setInterval(() => this.#runSystemTick(), SYSTEM_TICK_MS),
      setInterval(() => this.#logTraffic(), TRAFFIC_LOG_MS),
    ];
  }

  #runSystemTick(): void {
    this.#exchange.runTick();
    this.#services.runTick();
    this.#fleet.announceLoad(this.#load.refresh());
  }

  #logTraffic(): void {
    const rows = this.#traffic.list();
    const bytes = rows.map(({ purpose, distance, bytes: sum }) => [`${purpose}-${distance}`, sum]);
    this.#log.info('traffic', Object.fromEntries(bytes) as Readonly<Record<string, number>>);
  }

  #createMetrics(): GatewayMetrics {
    return new GatewayMetrics(
      {
        listServices: () => this.#services.listDesks().map((desk) => desk.describe()),
        countMembers: () => this.#fleet.countMembers(),
        getConfigurationVersion: () => this.#services.routes?.configuration.version ?? 0,
        getRevision: () => this.#replica.revision,
        isStoreAway: () => this.#exchange.isStoreAway,
        isDispatcher: () => this.#fleet.isDispatcher,
        listTraffic: () => this.#traffic.list(),
      },
      (error) => this.#log.warn('metrics-fault', { reason: error.message }),
    );
  }

  #createServices(): RoutedServices {
    return new RoutedServices({
      clock: this.#clock,
      random: this.#random,
      settings: this.#settings,
      dialect: this.#platform.http,
      replica: this.#replica,
      countDaemons: () => Math.max(MIN_DAEMON_COUNT, this.#fleet.membership.members.size),
      hasDispatcher: (dataCentre) => this.#fleet.roles.listDispatchers(dataCentre).length > 0,
      onStep: (request, step) => this.#records.recordStep(request, step),
      onOutcome: (event) => this.#reports.recordOutcome(event),
      onTrustChange: (upstream, change) => this.#log.info('trust', { upstream, change }),
      onLinkChange: (upstream, change) => this.#log.info('link', { upstream, change }),
      onLoadChange: () => this.#reports.recordLoad(),
      onBytes: (purpose, dataCentre, bytes) =>
        this.#traffic.record(purpose, dataCentre === this.#settings.dataCentre, bytes),
    });
  }

  #createSocket(): FleetSocket {
    const socket = new FleetSocket({
      port: this.#settings.reports.port,
      onSent: (tag, address, bytes) => this.#recordSent(PURPOSES[tag], address, bytes),
      onFault: (reason) => this.#log.warn('datagram-fault', { reason }),
    });
    const inbox = new ReportInbox((report) => this.#services.applyReport(report));
    socket.setHandler('report', (body) => inbox.accept(body));
    return socket;
  }

  #recordSent(purpose: TrafficPurpose, address: string, bytes: number): void {
    this.#traffic.record(purpose, this.#fleet.isNear(address), bytes);
  }

  #createFleet(): FleetLinks {
    return new FleetLinks({
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      settings: this.#settings,
      socket: this.#socket,
      calls: this.#calls,
      onSent: (address, bytes) => this.#recordSent('membership', address, bytes),
    });
  }

  #createExchange(): RecordExchange {
    return new RecordExchange({
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      selfId: this.#settings.id,
      dataCentre: this.#settings.dataCentre,
      readerCount: this.#settings.dispatchersPerDataCentre,
      replica: this.#replica,
      source: this.#source,
      fleet: this.#fleet,
      socket: this.#socket,
      calls: this.#calls,
      onChanged: () => this.#handleKnowledge(),
    });
  }

  #createReports(): DispatcherReports {
    return new DispatcherReports({
      clock: this.#clock,
      selfId: this.#settings.id,
      incarnation: this.#fleet.membership.self.incarnation,
      listInFlight: () => this.#services.listInFlight(),
      countPeers: () => this.#fleet.roles.listOtherDispatchers().length,
      send: (report, audience) => this.#sendReport(report, audience),
    });
  }

  #sendReport(report: DispatcherReport, audience: ReportAudience): void {
    const { dataCentre } = this.#settings;
    const body = formatReport(report);
    this.#fleet.roles
      .listOtherDispatchers()
      .filter((member) => (member.dataCentre === dataCentre) === (audience === 'near'))
      .forEach(({ address }) => this.#socket.send('report', body, address));
  }

  #createCallers(): CallerServer {
    return new CallerServer({
      clock: this.#clock,
      dialect: this.#platform.http,
      maxHeldBytes: this.#settings.maxHeldBytes,
      getRoutes: () => this.#getRoutes(),
      chooseService: (route) => this.#services.chooseService(route),
      serve: (request, onEnd) => this.#serve(request, onEnd),
      onRefused: (error, requestId, target) =>
        this.#records.recordRefusal(error, requestId, target),
    });
  }

  #serve(request: RoutedRequest, onEnd: (end: RequestEnd) => void): () => void {
    this.#load.recordArrival();
    return this.#services.serve(request, (end) => {
      this.#records.recordEnd(request, end);
      onEnd(end);
    });
  }

  #createPeerServer(): Server {
    return createPeerServer(this.#fleet.handlers, ({ revision }) =>
      this.#exchange.listChangesSince(revision),
    );
  }

  /** A daemon that serves nobody takes many changes in at once; a request brings it up to date. */
  #handleKnowledge(): void {
    this.#refreshTimer ??= setTimeout(
      () => this.#refreshServices(),
      this.#fleet.isDispatcher || !this.#services.routes ? 0 : IDLE_REFRESH_MS,
    );
  }

  #getRoutes(): RouteTable | undefined {
    if (this.#refreshTimer) this.#refreshServices();
    return this.#services.routes;
  }

  #refreshServices(): void {
    clearTimeout(this.#refreshTimer);
    this.#refreshTimer = undefined;
    if (!this.#services.refresh()) return;
    const { routes } = this.#services;
    if (!routes) return;
    const { version, limits } = routes.configuration;
    this.#callers.applyLimits(limits);
    this.#log.info('configuration', { version, routes: routes.configuration.routes.length });
  }

  #answerDirectory(
    { dataCentre = this.#settings.dataCentre }: DirectoryQuestion,
    caller: string,
  ): DirectoryAnswer {
    const { directoryHoldSeconds, bounds } = this.#settings;
    const members = this.#fleet.listDispatchersForCaller(dataCentre, caller);
    return {
      endpoints: members.map(({ address, callerPort }) => ({ address, port: callerPort })),
      holdSeconds: Math.min(directoryHoldSeconds, bounds.maxDirectoryHoldMs / MS_PER_SECOND),
    };
  }
}
