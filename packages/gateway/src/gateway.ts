/**
 * Puts a gateway daemon together: it listens, learns what is published, finds its peers, and
 * carries out what the core decides.
 */
import { LoadLevel, Replica } from '@baobabline/core';
import type { Changes } from '@baobabline/core';
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
import { FleetLinks } from './fleet/index.js';
import { closeServer, listenOn } from './http/index.js';
import { ChangeWaiters, StoreReader } from './knowledge/index.js';
import { createMetricsServer, GatewayMetrics } from './metrics/index.js';
import { createPeerServer } from './peers/index.js';
import { RequestRecords } from './records/index.js';
import { DispatcherReports, ReportSocket } from './reports/index.js';
import type { DispatcherReport } from './reports/index.js';
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
/** Without word of a dispatcher for so long, a daemon reads the store itself. */
const FOLLOW_SILENCE_MS = 1200;
const FOLLOW_SILENCE_SPREAD_MS = 600;
/** Daemons among which the fleet's slack for repeats is divided; more than any data centre has. */
const DAEMON_COUNT = 64;
const MS_PER_SECOND = 1000;

export type GatewayPhase = 'joining' | 'serving' | 'leaving' | 'stopped';

export class Gateway {
  readonly #settings: GatewaySettings;

  readonly #platform: PlatformPorts;

  readonly #clock = systemClock;

  readonly #random = createProcessRandom();

  readonly #log: Log;

  readonly #replica = new Replica();

  readonly #waiters = new ChangeWaiters(this.#replica);

  readonly #services: RoutedServices;

  readonly #fleet: FleetLinks;

  readonly #source: RecordSource;

  readonly #reader: StoreReader;

  readonly #reports: DispatcherReports;

  readonly #reportSocket = new ReportSocket({
    onReport: (report) => this.#services.applyReport(report),
    onFault: (reason) => this.#log.warn('report-fault', { reason }),
  });

  readonly #callers: CallerServer;

  readonly #load: LoadLevel;

  readonly #metrics: GatewayMetrics;

  readonly #records: RequestRecords;

  readonly #silenceMs: number;

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
    this.#silenceMs = FOLLOW_SILENCE_MS + this.#random.next() * FOLLOW_SILENCE_SPREAD_MS;
    this.#services = this.#createServices();
    this.#fleet = this.#createFleet();
    this.#reader = this.#createReader();
    this.#reports = this.#createReports();
    this.#callers = this.#createCallers();
    this.#metrics = this.#createMetrics();
    this.#records = new RequestRecords({
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
    });
    this.#load = new LoadLevel(this.#fleet.membership.self.capacity, this.#clock);
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
      this.#reportSocket.listen(reports.address, reports.port),
    ]);
    this.#log.info('started', { sinceStartMs: Math.round(performance.now()) });
    this.#startTimers();
    this.#reader.start();
    await this.#fleet.gossip.join();
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
    this.#waiters.releaseAll();
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
    await this.#metrics.load();
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
    this.#reader.stop();
    this.#services.close();
    this.#reports.stop();
    this.#reportSocket.close();
    await this.#callers.close();
    await Promise.all(this.#servers.map(closeServer));
    this.#fleet.close();
    this.#source.close();
  }

  async #waitForConfiguration(): Promise<void> {
    if (this.#services.routes || this.#phase !== 'joining') return;
    await wait(STOP_POLL_MS);
    await this.#waitForConfiguration();
  }

  #startTimers(): void {
    this.#fleet.start();
    this.#timers = [setInterval(() => this.#runSystemTick(), SYSTEM_TICK_MS)];
  }

  #runSystemTick(): void {
    this.#replica.runTick(this.#clock.now());
    this.#services.runTick();
    this.#fleet.announceLoad(this.#load.refresh());
    this.#fleet.follower.runTick();
  }

  #createMetrics(): GatewayMetrics {
    return new GatewayMetrics({
      listServices: () => this.#services.listDesks().map((desk) => desk.describe()),
      countMembers: () => this.#fleet.countMembers(),
      getConfigurationVersion: () => this.#services.routes?.configuration.version ?? 0,
      getRevision: () => this.#replica.revision,
      isStoreAway: () => this.#reader.isAway,
      isDispatcher: () => this.#fleet.isDispatcher,
    });
  }

  #createServices(): RoutedServices {
    return new RoutedServices({
      clock: this.#clock,
      random: this.#random,
      settings: this.#settings,
      dialect: this.#platform.http,
      replica: this.#replica,
      daemonCount: DAEMON_COUNT,
      onStep: (request, step) => this.#records.recordStep(request, step),
      onOutcome: (event) => this.#reports.recordOutcome(event),
      onTrustChange: (upstream, change) => this.#log.info('trust', { upstream, change }),
      onLinkChange: (upstream, change) => this.#log.info('link', { upstream, change }),
      onLoadChange: () => this.#reports.recordLoad(),
    });
  }

  #createFleet(): FleetLinks {
    return new FleetLinks({
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      settings: this.#settings,
      getRevision: () => this.#replica.revision,
      isStoreAway: () => this.#reader.isAway,
      onChanges: (changes) => this.#applyPeerChanges(changes),
    });
  }

  #createReader(): StoreReader {
    return new StoreReader({
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      replica: this.#replica,
      source: this.#source,
      shouldRead: () => this.#shouldRead(),
      onChanged: () => this.#handleKnowledge(),
      onAway: () => this.#waiters.releaseAll(),
    });
  }

  #createReports(): DispatcherReports {
    return new DispatcherReports({
      clock: this.#clock,
      selfId: this.#settings.id,
      incarnation: this.#fleet.membership.self.incarnation,
      listInFlight: () => this.#services.listInFlight(),
      countPeers: () => this.#fleet.listOtherDispatchers().length,
      send: (report) => this.#sendReport(report),
    });
  }

  #sendReport(report: DispatcherReport): void {
    const addresses = this.#fleet.listOtherDispatchers().map(({ address }) => address);
    this.#reportSocket.send(report, addresses, this.#settings.reports.port);
  }

  #createCallers(): CallerServer {
    return new CallerServer({
      clock: this.#clock,
      dialect: this.#platform.http,
      maxHeldBytes: this.#settings.maxHeldBytes,
      getRoutes: () => this.#services.routes,
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
    const { gossip, membership } = this.#fleet;
    return createPeerServer(
      {
        exchange: (message) => gossip.handleExchange(message),
        probe: async (target) => gossip.handleProbe(target),
      },
      async ({ revision, waitMs }) => ({
        changes: await this.#waiters.wait(revision, waitMs),
        from: membership.self,
        isCurrent: this.#reader.isCurrent,
      }),
    );
  }

  /** Readers read the store; the others only where no reader brings them its changes. */
  #shouldRead(): boolean {
    if (this.#fleet.isReader || this.#replica.revision === 0) return true;
    return this.#clock.now() - this.#fleet.follower.currentAt > this.#silenceMs;
  }

  #applyPeerChanges(changes: Changes): void {
    this.#replica.applyChanges(changes, this.#clock.now());
    this.#handleKnowledge();
  }

  #handleKnowledge(): void {
    this.#waiters.announce();
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
    const members = this.#fleet.listForCaller(dataCentre, caller);
    return {
      endpoints: members.map(({ address, callerPort }) => ({ address, port: callerPort })),
      holdSeconds: Math.min(directoryHoldSeconds, bounds.maxDirectoryHoldMs / MS_PER_SECOND),
    };
  }
}
