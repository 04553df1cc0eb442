/**
 * Assembles a gateway daemon: it opens the listeners, joins the fleet, replicates the published
 * records, routes requests to upstreams, and shuts down in order.
 */
import {
  AdvertisedLoad,
  computeStopBounds,
  CUT_OFF_CAPACITY,
  DEFAULT_REPLICA_SETTINGS,
  drawStartupRetryMs,
  LEASE_LOST_CAPACITY,
  PlannedStop,
  Replica,
} from '@baobabline/core';
import type { RecordConflict, RouteTable } from '@baobabline/core';
import { createLog, createProcessRandom, systemClock } from '@baobabline/daemon';
import type { Log } from '@baobabline/daemon';
import type { Server } from 'node:http';
import { setImmediate as waitForEvents, setTimeout as wait } from 'node:timers/promises';

import { createFleetQuotas, serveWithinQuota } from './account-usage/index.js';
import type { AccountQuotas } from './account-usage/index.js';
import { checkKeyAgain } from './caller-keys/index.js';
import type {
  DirectoryResponse,
  DirectoryQuery,
  PlatformAdapter,
  RecordSource,
} from './dialect/index.js';
import { DownloadGate } from './downloads/index.js';
import { FleetQuarantine } from './crash-quarantine/index.js';
import { createDirectoryServer, createReadinessServer } from './directory/index.js';
import { CallerServer, REQUEST_PHASES } from './edge/index.js';
import { ExceptionRecorder } from './exceptions/index.js';
import type { ExceptionOrigin } from './exceptions/index.js';
import { FleetSocket } from './datagrams/index.js';
import type { DatagramTag } from './datagrams/index.js';
import { computeMaxHeldBytes, HeldBytes } from './held-bytes/index.js';
import { FleetLinks, TrafficMeter } from './fleet/index.js';
import type { TrafficPurpose } from './fleet/index.js';
import { closeServer, HttpClient, listenOn } from './http/index.js';
import { FleetKeyLease } from './key-lease/index.js';
import {
  OutdatedConfigurationLog,
  PeerFormats,
  ReaderRanks,
  RecordExchange,
} from './record-sync/index.js';
import { createMetricsServer, GatewayMetrics } from './metrics/index.js';
import { createPeerServer } from './peers/index.js';
import { FleetRateLimits } from './rate-limits/index.js';
import { RequestRecorder } from './request-recording/index.js';
import { DispatcherReports, formatReport, ReportInbox } from './reports/index.js';
import type { DispatcherReport, ReportAudience } from './reports/index.js';
import type { RequestEnd, RoutedRequest, ServedRequest } from './requests/index.js';
import { FleetRetrySlack, OverloadLog } from './overload/index.js';
import { RoutedServices } from './services/index.js';
import type { GatewaySettings } from './settings/index.js';
import { UpstreamLinkMonitor } from './upstream-links/index.js';

const SYSTEM_TICK_INTERVAL_MS = 200;
const POLL_INTERVAL_MS = 50;
/** Some callers cache a directory response three times as long as it allows. */
const DIRECTORY_HOLD_FACTOR = 3;
/** How often a planned stop looks at what is open. */
const STOP_TURN_MS = 20;
/** Limits the wait for peers to be told of a shutdown: one that does not reply must not delay it. */
const SHUTDOWN_ANNOUNCEMENT_TIMEOUT_MS = 150;
/**
 * On start, a daemon waits up to this long to learn of its peers, so that it knows them before it
 * reads the store for them.
 */
const JOIN_TIMEOUT_MS = 300;
const KEEP_ALIVE_MS = 30_000;
const TRAFFIC_LOG_INTERVAL_MS = 10_000;
/** How long a daemon that is not a dispatcher collects record changes before it applies them. */
const IDLE_REFRESH_DELAY_MS = 300;
const MS_PER_SECOND = 1000;

const PURPOSE_BY_TAG: Readonly<Record<DatagramTag, TrafficPurpose>> = {
  report: 'reports',
  gossip: 'membership',
  'gossip-answer': 'membership',
  probe: 'membership',
  'probe-answer': 'membership',
  poll: 'records',
  news: 'records',
  'rate-limits': 'reports',
  'crash-reports': 'reports',
  'lease-question': 'records',
  'lease-answer': 'records',
  'account-usage': 'reports',
};

export type GatewayPhase = 'joining' | 'serving' | 'leaving' | 'stopped';

export class Gateway {
  readonly #settings: GatewaySettings;

  readonly #platform: PlatformAdapter;

  readonly #clock = systemClock;

  readonly #startedAt = this.#clock.now();

  readonly #random = createProcessRandom();

  readonly #log: Log;

  readonly #replica = new Replica(DEFAULT_REPLICA_SETTINGS, {
    onEraChange: (change) => this.#log.warn('era-changed', change),
    onConflict: (conflict) => this.#recordConflict(conflict),
  });

  readonly #heldBytes: HeldBytes;

  readonly #downloads: DownloadGate;

  readonly #services: RoutedServices;

  readonly #fleet: FleetLinks;

  readonly #recordSource: RecordSource;

  readonly #keyLease: FleetKeyLease;

  readonly #outdatedLog: OutdatedConfigurationLog;

  readonly #formats = new PeerFormats();

  readonly #ranks: ReaderRanks;

  readonly #recordExchange: RecordExchange;

  readonly #reports: DispatcherReports;

  readonly #rateLimits: FleetRateLimits;

  readonly #retrySlack: FleetRetrySlack;

  readonly #overloadLog: OverloadLog;

  readonly #quotas: AccountQuotas;

  readonly #quarantine: FleetQuarantine;

  readonly #linkMonitor: UpstreamLinkMonitor;

  readonly #fleetSocket: FleetSocket;

  /** Client for requests to other daemons. */
  readonly #httpClient = new HttpClient({ connections: 2, keepAliveMs: KEEP_ALIVE_MS });

  readonly #traffic = new TrafficMeter();

  readonly #callerServer: CallerServer;

  readonly #advertisedLoad: AdvertisedLoad;

  readonly #metrics: GatewayMetrics;

  readonly #recorder: RequestRecorder;

  readonly #exceptions: ExceptionRecorder;

  /** Set while record changes are waiting to be applied to the services. */
  #refreshTimer: NodeJS.Timeout | undefined;

  #phase: GatewayPhase = 'joining';

  /** Set from the first signal to stop. */
  #stopping: Promise<void> | undefined;

  #servers: readonly Server[] = [];

  #timers: readonly NodeJS.Timeout[] = [];

  constructor(settings: GatewaySettings, platform: PlatformAdapter) {
    this.#settings = settings;
    this.#platform = platform;
    this.#log = createLog(settings, this.#random);
    this.#recordSource = platform.createSource((key, reason) =>
      this.#log.warn('record-unusable', { key, reason }),
    );
    this.#fleetSocket = this.#createFleetSocket();
    this.#heldBytes = new HeldBytes(computeMaxHeldBytes(settings), this.#clock);
    this.#downloads = new DownloadGate({
      clock: this.#clock,
      machine: settings.machine,
      heldBytes: this.#heldBytes,
      onRefused: (cause) => this.#metrics.recordDownloadRefusal(cause),
    });
    this.#services = this.#createServices();
    this.#fleet = this.#createFleet();
    this.#ranks = new ReaderRanks({
      selfId: settings.id,
      dataCentre: settings.dataCentre,
      readerCount: settings.dispatchersPerDataCentre,
      fleet: this.#fleet,
      formats: this.#formats,
    });
    this.#keyLease = this.#createKeyLease();
    this.#outdatedLog = new OutdatedConfigurationLog(this.#clock, this.#log, this.#replica);
    this.#recordExchange = this.#createRecordExchange();
    this.#reports = this.#createReports();
    this.#rateLimits = new FleetRateLimits({
      clock: this.#clock,
      log: this.#log,
      selfId: settings.id,
      seeds: settings.seeds.map(({ address }) => address),
      fleet: this.#fleet,
      socket: this.#fleetSocket,
      services: this.#services,
    });
    this.#retrySlack = new FleetRetrySlack({
      clock: this.#clock,
      log: this.#log,
      settings,
      fleet: this.#fleet,
      getVisiblePart: () => this.#rateLimits.getVisiblePart(),
    });
    this.#overloadLog = new OverloadLog(this.#clock, this.#log);
    this.#quotas = createFleetQuotas({
      clock: this.#clock,
      log: this.#log,
      settings,
      fleet: this.#fleet,
      socket: this.#fleetSocket,
      getVisiblePart: () => this.#rateLimits.getLatestVisiblePart(),
    });
    this.#quarantine = new FleetQuarantine({
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      selfId: settings.id,
      fleet: this.#fleet,
      socket: this.#fleetSocket,
      upstreams: this.#services,
      getVisiblePart: () => this.#rateLimits.getVisiblePart(),
      onVerdict: (verdict) => this.#metrics.recordLostUpstream(verdict),
    });
    this.#linkMonitor = this.#createLinkMonitor();
    this.#callerServer = this.#createCallerServer();
    this.#metrics = this.#createMetrics();
    this.#recorder = new RequestRecorder({
      clock: this.#clock,
      log: this.#log,
      metrics: this.#metrics,
    });
    this.#exceptions = new ExceptionRecorder({
      log: this.#log,
      onRecorded: (origin) => this.#metrics.recordException(origin),
    });
    this.#advertisedLoad = new AdvertisedLoad(this.#fleet.membership.self.capacity, this.#clock);
  }

  get phase(): GatewayPhase {
    return this.#phase;
  }

  /** Opens the listeners and joins the fleet; resolves once requests are served. */
  async start(): Promise<void> {
    const { callers, directory, readiness, peers, reports } = this.#settings;
    const peerServer = this.#createPeerServer();
    const directoryServer = createDirectoryServer({
      dialect: this.#platform.directory,
      answer: (question, caller) => this.#answerDirectory(question, caller),
      onException: (error) => this.recordException('query', error),
    });
    const readinessServer = createReadinessServer({
      dialect: this.#platform.directory,
      isReady: () => this.#phase === 'serving',
      onException: (error) => this.recordException('query', error),
    });
    this.#servers = [peerServer, directoryServer, readinessServer];
    await Promise.all([
      listenOn(peerServer, peers.address, peers.port),
      listenOn(directoryServer, directory.address, directory.port),
      listenOn(readinessServer, readiness.address, readiness.port),
      this.#callerServer.listen(callers.address, callers.port),
      this.#fleetSocket.listen(reports.address),
    ]);
    this.#log.info('started', { sinceStartMs: Math.round(performance.now()) });
    this.#startTimers();
    await Promise.race([this.#fleet.join(), wait(JOIN_TIMEOUT_MS)]);
    this.#quarantine.start();
    this.#recordExchange.start();
    await this.#waitForConfiguration();
    if (this.#phase !== 'joining') return;
    this.#phase = 'serving';
    this.#log.info('serving', { sinceStartMs: Math.round(performance.now()) });
    await this.#fleet.announceState('serving');
    await this.#startMetrics().catch((error: Error) =>
      this.#log.warn('metrics-fault', { reason: error.message }),
    );
  }

  /**
   * Stops gracefully: announces that this daemon is leaving, so that the directory lists it no longer,
   * and carries out the states of a planned stop until nothing is open. Further calls wait for the same
   * stop.
   */
  async stop(): Promise<void> {
    if (this.#stopping) this.#log.warn('stop-repeated', { phase: this.#phase });
    this.#stopping ??= this.#runStop();
    await this.#stopping;
  }

  /** Records an exception that was contained; what it interrupted is lost, and the rest goes on. */
  recordException(origin: ExceptionOrigin, error: unknown): void {
    this.#exceptions.record(origin, error);
  }

  /** Logs that the settings file has changed; changes apply at the next start. */
  recordReload(): void {
    this.#log.info('settings-changed', { effect: 'applied at the next start' });
  }

  async #runStop(): Promise<void> {
    this.#phase = 'leaving';
    const { directoryHoldSeconds, bounds } = this.#settings;
    const holdMs = directoryHoldSeconds * DIRECTORY_HOLD_FACTOR * MS_PER_SECOND;
    const stop = new PlannedStop(computeStopBounds(bounds.stopGraceMs, holdMs), this.#clock.now());
    this.#callerServer.startLeaving(stop);
    this.#logStop(stop);
    await Promise.all([this.#announceState('leaving'), this.#advanceStop(stop)]);
    await this.#close();
    this.#log.info('stopped', { afterMs: Math.round(this.#clock.now() - stop.startedAt) });
  }

  /** Moves a stop on until it has ended. */
  async #advanceStop(stop: PlannedStop): Promise<void> {
    await wait(STOP_TURN_MS);
    // After a stall the timer comes first; what upstreams and callers sent meanwhile is read before.
    await waitForEvents();
    const { state: before } = stop;
    const { openRequests: requests, openConnections: connections } = this.#callerServer;
    const now = this.#clock.now();
    const state = stop.advance(now, { requests, connections });
    if (state !== before) this.#logStop(stop);
    if (stop.shouldFailRequests(now)) this.#callerServer.failRequests();
    if (state === 'closing' && before !== state) this.#callerServer.startClosing();
    if (state !== 'ended') {
      await this.#advanceStop(stop);
      return;
    }
    this.#phase = 'stopped';
    await this.#callerServer.close();
    await this.#announceState('left');
  }

  /** Tells peers; one that does not reply does not hold up the stop. */
  async #announceState(state: 'leaving' | 'left'): Promise<void> {
    const announced = this.#fleet.announceState(state);
    await Promise.race([announced, wait(SHUTDOWN_ANNOUNCEMENT_TIMEOUT_MS)]);
  }

  #logStop({ state, startedAt }: PlannedStop): void {
    const afterMs = Math.round(this.#clock.now() - startedAt);
    this.#log.info('stop', { state, afterMs, ...this.#callerServer.describeOpen() });
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

  async #close(): Promise<void> {
    this.#timers.forEach((timer) => clearInterval(timer));
    clearTimeout(this.#refreshTimer);
    this.#recordExchange.stop();
    this.#services.close();
    this.#reports.stop();
    this.#rateLimits.stop();
    this.#quotas.stop();
    this.#quarantine.stop();
    this.#linkMonitor.stop();
    this.#keyLease.stop();
    this.#fleetSocket.close();
    await Promise.all(this.#servers.map(closeServer));
    this.#fleet.close();
    this.#httpClient.close();
    this.#recordSource.close();
  }

  async #waitForConfiguration(): Promise<void> {
    if (this.#services.routes || this.#phase !== 'joining') return;
    await wait(POLL_INTERVAL_MS);
    await this.#waitForConfiguration();
  }

  #startTimers(): void {
    this.#fleet.start();
    this.#timers = [
      setInterval(() => this.#runSystemTick(), SYSTEM_TICK_INTERVAL_MS),
      setInterval(() => this.#logTraffic(), TRAFFIC_LOG_INTERVAL_MS),
    ];
  }

  #runSystemTick(): void {
    this.#recordExchange.runTick();
    this.#services.runTick();
    this.#rateLimits.runTick();
    this.#retrySlack.runTick();
    this.#overloadLog.runTick(this.#services.listDesks());
    this.#quotas.runTick();
    this.#quarantine.runTick();
    this.#linkMonitor.runTick();
    this.#keyLease.runTick();
    this.#outdatedLog.runTick();
    this.#fleet.announceLoad(this.#advertisedLoad.refresh());
    this.#fleet.announceLoad(this.#advertisedLoad.refresh(this.#downloads.computeRequestWeight()));
  }

  #logTraffic(): void {
    const trafficRows = this.#traffic.list();
    const bytesByKey = trafficRows.map(({ purpose, distance, bytes: sum }) => [
      `${purpose}-${distance}`,
      sum,
    ]);
    this.#log.info('traffic', Object.fromEntries(bytesByKey) as Readonly<Record<string, number>>);
  }

  #createMetrics(): GatewayMetrics {
    return new GatewayMetrics(
      {
        requestPhases: REQUEST_PHASES,
        listServices: () => this.#services.listDesks().map((desk) => desk.describe()),
        countMembers: () => this.#fleet.countMembers(),
        countQuarantinedRequests: () => this.#quarantine.size,
        getConfigurationVersion: () => this.#services.routes?.configuration.version ?? 0,
        getRevision: () => this.#replica.revision,
        getStoreEra: () => this.#replica.era ?? 0,
        isStoreUnavailable: () => this.#recordExchange.isStoreAway,
        isDispatcher: () => this.#fleet.isDispatcher,
        getKeyLeaseAgeMs: () => this.#keyLease.ageMs,
        isConfigurationNewest: () => this.#isConfigurationNewest,
        isCutOff: () => this.#linkMonitor.isCutOff,
        getAccountsOverQuota: () => this.#quotas.overQuotaCount,
        getQuotaVisiblePart: () => this.#quotas.visiblePart,
        listTraffic: () => this.#traffic.list(),
        describeDownloads: () => this.#downloads.describe(),
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
      heldBytes: this.#heldBytes,
      replica: this.#replica,
      getRetrySlackShare: () => this.#retrySlack.getShare(),
      hasDispatcher: (dataCentre) => this.#fleet.roles.listDispatchers(dataCentre).length > 0,
      onStep: (request, step) => this.#recorder.recordStep(request, step),
      onOutcome: (event) => this.#reports.recordOutcome(event),
      onTrustChange: (upstream, change) => this.#log.info('trust', { upstream, change }),
      onLinkChange: (upstream, change) => this.#log.info('link', { upstream, change }),
      getRateLimitShare: (upstream) => this.#rateLimits.getShare(upstream),
      onRateLimitChange: (upstream, change, source) =>
        this.#rateLimits.recordChange(upstream, change, source),
      getCrashGuard: () => this.#quarantine,
      isCutOff: () => this.#linkMonitor.isCutOff,
      onUpstreamFailure: (upstreamId) => this.#linkMonitor.recordFailure(upstreamId),
      onLeaving: (upstream) => this.#log.info('upstream-leaving', { upstream }),
      onLoadChange: () => this.#reports.recordLoad(),
      checkCaller: ({ caller }) => {
        const accounts = this.#keyLease.findAccounts(this.#services.routes);
        return accounts && checkKeyAgain(caller, accounts, this.#keyLease.validity);
      },
      getFleetRate: (accountName) => this.#quotas.getFleetRate(accountName) || undefined,
      getDownloads: () => (this.#downloads.isActive ? this.#downloads : undefined),
      onBytes: (purpose, dataCentre, bytes) => {
        if (purpose === 'requests') this.#downloads.recordSent(bytes);
        this.#traffic.record(purpose, dataCentre === this.#settings.dataCentre, bytes);
      },
      findDataCentre: (daemonId) => this.#fleet.membership.members.get(daemonId)?.dataCentre,
      onFarTraffic: (traffic) => this.#metrics.recordFarTraffic(traffic),
      onFarShare: (service, share) => this.#log.info('far-share', { service, share }),
    });
  }

  #createLinkMonitor(): UpstreamLinkMonitor {
    return new UpstreamLinkMonitor({
      clock: this.#clock,
      random: this.#random,
      listUpstreams: () => this.#services.listUpstreams(),
      hasCutOffNeighbour: () => this.#fleet.hasCutOffNeighbour,
      onChange: (isCutOff, reached, checked) => {
        this.#log.warn(isCutOff ? 'upstream-links-lost' : 'upstream-links-back', {
          reached,
          checked,
        });
        this.#announceCapacity();
      },
    });
  }

  /** Both lost links to the upstreams and a lost key lease are reasons not to be named to callers. */
  #announceCapacity(): void {
    const leaseCapacity = this.#keyLease.isCutOff ? LEASE_LOST_CAPACITY : undefined;
    this.#fleet.announceCapacity(this.#linkMonitor.isCutOff ? CUT_OFF_CAPACITY : leaseCapacity);
  }

  #createKeyLease(): FleetKeyLease {
    const { id, dispatchersPerDataCentre, bounds } = this.#settings;
    return new FleetKeyLease({
      clock: this.#clock,
      getWallTime: () => Date.now(),
      random: this.#random,
      log: this.#log,
      selfId: id,
      readerCount: dispatchersPerDataCentre,
      ranks: this.#ranks,
      isSource: (address) => this.#recordExchange.isSource(address),
      isStrict: bounds.isRevocationStrict,
      revocationMs: bounds.revocationMs,
      replica: this.#replica,
      fleet: this.#fleet,
      socket: this.#fleetSocket,
      onStranger: (address) => this.#fleet.askForMembers(address),
      onCutOffChange: () => this.#announceCapacity(),
    });
  }

  #createFleetSocket(): FleetSocket {
    const socket = new FleetSocket({
      port: this.#settings.reports.port,
      onSent: (tag, address, bytes) => this.#recordSent(PURPOSE_BY_TAG[tag], address, bytes),
      onReceived: (address) => this.#keyLease.recordSender(address),
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
      socket: this.#fleetSocket,
      calls: this.#httpClient,
      onSent: (address, bytes) => this.#recordSent('membership', address, bytes),
    });
  }

  #createRecordExchange(): RecordExchange {
    return new RecordExchange({
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      selfId: this.#settings.id,
      dataCentre: this.#settings.dataCentre,
      readerCount: this.#settings.dispatchersPerDataCentre,
      replica: this.#replica,
      source: this.#recordSource,
      registrationIntervalMs: this.#settings.bounds.registrationIntervalMs,
      confirmations: this.#keyLease.confirmations,
      formats: this.#formats,
      ranks: this.#ranks,
      fleet: this.#fleet,
      socket: this.#fleetSocket,
      calls: this.#httpClient,
      onChanged: () => this.#handleRecordChange(),
    });
  }

  #createReports(): DispatcherReports {
    return new DispatcherReports({
      clock: this.#clock,
      selfId: this.#settings.id,
      getIncarnation: () => this.#fleet.membership.self.incarnation,
      listInFlight: () => this.#services.listInFlight(),
      countPeers: () => this.#fleet.listReportRecipients().length,
      send: (report, audience) => this.#sendReport(report, audience),
    });
  }

  #sendReport(report: DispatcherReport, audience: ReportAudience): void {
    const { dataCentre } = this.#settings;
    const body = formatReport(report);
    this.#fleet
      .listReportRecipients()
      .filter((member) => (member.dataCentre === dataCentre) === (audience === 'near'))
      .forEach(({ address }) => this.#fleetSocket.send('report', body, address));
  }

  #createCallerServer(): CallerServer {
    return new CallerServer({
      clock: this.#clock,
      dialect: this.#platform.http,
      heldBytes: this.#heldBytes,
      getRoutes: () => this.#getProvenRoutes(),
      isConfigurationNewest: () => this.#isConfigurationNewest,
      canServe: () => this.#canServe(),
      drawStartupRetryMs: () =>
        drawStartupRetryMs(this.#clock.now() - this.#startedAt, this.#random),
      keyValidity: this.#keyLease.validity,
      chooseService: (route) => this.#services.chooseService(route),
      serve: (request, onEnd) => this.#serve(request, onEnd),
      onRefused: (error, requestId, target) =>
        this.#recorder.recordRefusal(error, requestId, target),
      onCut: (cut) => this.#recorder.recordCut(cut),
      onSlowReader: (slow) => this.#recorder.recordSlowReader(slow),
      onException: (error) => this.recordException('caller', error),
    });
  }

  get #isConfigurationNewest(): boolean {
    return this.#replica.unusableConfiguration === undefined;
  }

  #canServe(): boolean {
    const routes = this.#getProvenRoutes();
    return routes !== undefined && (!routes.accounts || this.#keyLease.validity.mayAccept());
  }

  #serve(request: RoutedRequest, onEnd: (end: RequestEnd) => void): ServedRequest {
    this.#advertisedLoad.recordArrival();
    const handleEnd = (end: RequestEnd): void => {
      if (end.kind === 'answered') this.#downloads.recordAnswered(request, end.answer.bodyBytes);
      this.#recorder.recordEnd(request, end);
      onEnd(end);
    };
    const serving = {
      clock: this.#clock,
      quotas: this.#quotas,
      serve: this.#services.serve.bind(this.#services),
    };
    return serveWithinQuota(serving, request, handleEnd);
  }

  #createPeerServer(): Server {
    return createPeerServer(
      this.#fleet.handlers,
      ({ known }) => this.#recordExchange.listChangesSince(known),
      (error) => this.recordException('peer', error),
    );
  }

  #recordConflict({ record, known, outcome }: RecordConflict): void {
    this.#metrics.recordConflict(outcome);
    this.#log.warn(`record-${outcome}`, {
      key: record.key,
      era: record.era,
      revision: record.revision,
      knownEra: known.era,
      knownRevision: known.revision,
      version: record.configuration?.version,
      knownVersion: known.configuration?.version,
    });
  }

  /**
   * A daemon that is not a dispatcher applies record changes in batches, after a delay. If a request
   * arrives before that, pending changes are applied first.
   */
  #handleRecordChange(): void {
    this.#keyLease.runTick();
    this.#refreshTimer ??= setTimeout(
      () => this.#refreshServices(),
      this.#fleet.isDispatcher || !this.#services.routes ? 0 : IDLE_REFRESH_DELAY_MS,
    );
  }

  #getRoutes(): RouteTable | undefined {
    if (this.#refreshTimer) this.#refreshServices();
    return this.#services.routes;
  }

  /** The routes that callers may use: none before the configuration is known to be the newest. */
  #getProvenRoutes(): RouteTable | undefined {
    return this.#keyLease.isConfigurationProven ? this.#getRoutes() : undefined;
  }

  #refreshServices(): void {
    clearTimeout(this.#refreshTimer);
    this.#refreshTimer = undefined;
    if (!this.#services.refresh()) return;
    const { routes } = this.#services;
    if (!routes) return;
    const { version, limits } = routes.configuration;
    this.#callerServer.applyLimits(limits);
    this.#downloads.applyConfiguration(routes.configuration);
    this.#quotas.setAccounts(routes.configuration.accounts ?? []);
    this.#log.info('configuration', { version, routes: routes.configuration.routes.length });
  }

  #answerDirectory(
    { dataCentre = this.#settings.dataCentre }: DirectoryQuery,
    caller: string,
  ): DirectoryResponse {
    const { directoryHoldSeconds, bounds } = this.#settings;
    const members = this.#fleet.listDispatchersForCaller(dataCentre, caller);
    return {
      endpoints: members.map(({ address, callerPort }) => ({ address, port: callerPort })),
      holdSeconds: Math.min(directoryHoldSeconds, bounds.maxDirectoryHoldMs / MS_PER_SECOND),
    };
  }
}
