/**
 * Assembles a daemon from its components. It listens, updates its tables from peer messages, runs the
 * periodic tasks, and applies their decisions.
 */
import {
  CrashReports,
  createRefusal,
  DEFAULT_KEY_STORE_SETTINGS,
  DEFAULT_MEMBERSHIP_SETTINGS,
  DocumentStore,
  EvidencePool,
  IdempotencyKeyStore,
  Membership,
} from '@baobabline/core';
import type { Member, Upstream } from '@baobabline/core';
import type { FastifyInstance } from 'fastify';
import type { AddressInfo } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';

import { createCallerApp } from './callers/app.js';
import { OpenReplies } from './callers/open-replies.js';
import { DecisionLog } from './decisions/index.js';
import { EntryAnswers } from './entries/index.js';
import {
  DocumentSync,
  FleetView,
  Gossip,
  PauseWatch,
  PeerLoads,
  PeerReports,
} from './fleet/index.js';
import { PlanLimits } from './limits/plan-limits.js';
import { Metrics } from './metrics/metrics.js';
import { createOperatorApp } from './operators/app.js';
import type { Phase } from './operators/status.js';
import { ControlMeter, PeerClient } from './peers/index.js';
import { createPeerApp } from './peers/server.js';
import { createProcessRandom, systemClock } from './runtime/clock.js';
import { KeyValueClient } from './runtime/key-value-client.js';
import { createLog } from './runtime/log.js';
import type { Log } from './runtime/log.js';
import { CrashInvestigator, PeerForwarder, RequestHandler } from './requests/index.js';
import type { Answer } from './requests/index.js';
import { checkReachable, ServiceState, UpstreamReachability } from './services/index.js';
import type { Endpoint, Settings } from './settings/index.js';

const REQUEST_TICK_INTERVAL_MS = 20;
const SYSTEM_TICK_INTERVAL_MS = 100;
const GOSSIP_INTERVAL_MS = 200;
const POLL_INTERVAL_MS = 50;
const ANNOUNCE_PEER_COUNT = 4;
/** How long a closing daemon waits for callers to take refusals. */
const MAX_REFUSAL_MS = 500;
const MS_PER_SECOND = 1000;

export type DaemonPorts = {
  readonly callers: number;
  readonly peers: number;
  readonly operators: number;
};

function getPort(app: FastifyInstance): number {
  return (app.server.address() as AddressInfo).port;
}

export class Daemon {
  readonly #settings: Settings;

  readonly #clock = systemClock;

  readonly #random = createProcessRandom();

  readonly #log: Log;

  readonly #documents = new DocumentStore();

  readonly #services = new Map<string, ServiceState>();

  readonly #meter = new ControlMeter();

  readonly #openReplies = new OpenReplies();

  readonly #client: PeerClient;

  readonly #reachability: UpstreamReachability;

  readonly #crashReports: CrashReports;

  readonly #evidence: EvidencePool;

  readonly #decisions: DecisionLog;

  readonly #forwarder: PeerForwarder;

  readonly #pauseWatch: PauseWatch;

  readonly #kvClients: Readonly<Record<'lists' | 'vm-list', KeyValueClient>>;

  #phase: Phase = 'joining';

  #stopping: Promise<void> | undefined;

  /** When a stop ends at the latest, whatever is open then. */
  #endsAt = Number.POSITIVE_INFINITY;

  #timers: readonly NodeJS.Timeout[] = [];

  #apps: readonly FastifyInstance[] = [];

  #view!: FleetView;

  #requestHandler!: RequestHandler;

  #gossip!: Gossip;

  #sync!: DocumentSync;

  #reports!: PeerReports;

  #limits!: PlanLimits;

  #keyStore!: IdempotencyKeyStore<Answer>;

  #metrics!: Metrics;

  #loads!: PeerLoads;

  #entries!: EntryAnswers;

  constructor(settings: Settings) {
    this.#settings = settings;
    this.#log = createLog(settings, this.#random);
    this.#decisions = new DecisionLog(this.#log);
    this.#client = new PeerClient((endpoint) => this.#findEndpoint(endpoint), this.#meter);
    this.#reachability = new UpstreamReachability(this.#clock);
    this.#crashReports = new CrashReports(this.#clock);
    this.#evidence = new EvidencePool(this.#clock);
    this.#pauseWatch = new PauseWatch(this.#clock);
    this.#forwarder = new PeerForwarder({
      clock: this.#clock,
      maxHeldBytes: settings.maxHeldAnswerBytes,
      findEndpoint: (endpoint) => this.#findEndpoint(endpoint),
    });
    this.#kvClients = {
      lists: new KeyValueClient(settings.configurationService),
      'vm-list': new KeyValueClient(settings.vmListService),
    };
  }

  get phase(): Phase {
    return this.#phase;
  }

  /** Listens, joins the fleet, and resolves once requests are served. */
  async start(): Promise<DaemonPorts> {
    const ports = await this.#listen();
    this.#log.info('listening', { ports });
    this.#startTimers();
    await this.#join();
    return ports;
  }

  /** Stops without interrupting a request: waits until answers and keys expire and requests finish. */
  async stop(): Promise<void> {
    // Whoever asks again waits for the same stop: the process ends when this resolves.
    this.#stopping ??= this.#drain();
    await this.#stopping;
  }

  async #drain(): Promise<void> {
    this.#phase = 'leaving';
    const startedAt = this.#clock.now();
    this.#endsAt = startedAt + this.#settings.maxStopSeconds * MS_PER_SECOND;
    this.#log.info('leaving');
    this.#view.membership.setOwnState('leaving');
    await this.#gossip.announce(ANNOUNCE_PEER_COUNT);
    await this.#waitUntilIdle(startedAt);
    this.#view.membership.setOwnState('left');
    await this.#gossip.announce(ANNOUNCE_PEER_COUNT);
    // Peers may take long to answer, and requests that came meanwhile are served.
    await this.#waitUntilIdle(startedAt);
    this.#phase = 'stopped';
    const cutRequests = await this.#close();
    const seconds = (this.#clock.now() - startedAt) / MS_PER_SECOND;
    this.#log.info('stopped', { seconds, cutRequests });
  }

  /**
   * Callers may keep entry answers that name this daemon, and no other process may run the keys that
   * it has issued, so it serves until both have expired.
   */
  async #waitUntilIdle(startedAt: number): Promise<void> {
    const { entryHoldSeconds } = this.#settings;
    const now = this.#clock.now();
    const age = now - startedAt;
    const answersHold = age < (entryHoldSeconds + 1) * MS_PER_SECOND;
    const keysHold = now < this.#entries.keysExpireAt;
    const isIdle = this.#requestHandler.inFlight === 0 && this.#openReplies.count === 0;
    if (!answersHold && !keysHold && isIdle) return;
    if (now >= this.#endsAt) return;
    await wait(POLL_INTERVAL_MS);
    await this.#waitUntilIdle(startedAt);
  }

  /** Closes everything and resolves with the number of requests that were cut. */
  async #close(): Promise<number> {
    this.#timers.forEach((timer) => clearInterval(timer));
    this.#sync.stop();
    // Refusals of requests that are read from now on are sent before their connections are closed.
    this.#apps.forEach((app) => app.server.close());
    await this.#waitForReplies(this.#clock.now());
    const cutRequests = this.#openReplies.count;
    await Promise.all(this.#apps.map((app) => app.close()));
    this.#services.forEach((service) => service.close());
    await Promise.all([
      this.#client.close(),
      this.#forwarder.close(),
      this.#kvClients.lists.close(),
      this.#kvClients['vm-list'].close(),
    ]);
    return cutRequests;
  }

  async #waitForReplies(startedAt: number): Promise<void> {
    if (this.#openReplies.count === 0) return;
    if (this.#clock.now() - startedAt >= MAX_REFUSAL_MS) return;
    await wait(POLL_INTERVAL_MS);
    await this.#waitForReplies(startedAt);
  }

  /** Listens on all three ports and announces them; the operating system may choose the numbers. */
  async #listen(): Promise<DaemonPorts> {
    const { callers, peers, operators } = this.#settings;
    this.#buildComponents();
    const peerApp = await this.#createPeerApp();
    const callerApp = createCallerApp({
      settings: this.#settings,
      path: this.#requestHandler,
      entries: this.#entries,
      metrics: this.#metrics,
      decisions: this.#decisions,
      openReplies: this.#openReplies,
      isLeaving: () => this.#stopping !== undefined,
    });
    const operatorApp = this.#createOperatorApp();
    this.#apps = [callerApp, peerApp, operatorApp];
    await peerApp.listen({ host: peers.address, port: peers.port });
    await callerApp.listen({ host: callers.address, port: callers.port });
    await operatorApp.listen({ host: operators.address, port: operators.port });
    this.#announcePorts(getPort(peerApp), getPort(callerApp));
    return {
      callers: getPort(callerApp),
      peers: getPort(peerApp),
      operators: getPort(operatorApp),
    };
  }

  #announcePorts(peerPort: number, callerPort: number): void {
    const { membership } = this.#view;
    membership.members.put({ ...membership.self, peerPort, callerPort });
  }

  #buildComponents(): void {
    const clock = this.#clock;
    const self = this.#createSelf();
    const membership = new Membership(self, DEFAULT_MEMBERSHIP_SETTINGS, {
      clock,
      random: this.#random,
    });
    this.#view = new FleetView(membership, this.#documents, this.#settings.routing);
    this.#loads = new PeerLoads(clock);
    this.#limits = new PlanLimits({ clock, view: this.#view, client: this.#client });
    this.#keyStore = new IdempotencyKeyStore<Answer>(
      {
        daemonId: self.id,
        get incarnation(): number {
          return membership.self.incarnation;
        },
      },
      DEFAULT_KEY_STORE_SETTINGS,
    );
    this.#metrics = this.#createMetrics();
    this.#entries = this.#createEntryAnswers();
    this.#requestHandler = this.#createRequestPath();
    this.#sync = this.#createDocumentSync();
    this.#gossip = this.#createGossip();
    this.#reports = new PeerReports({
      clock,
      view: this.#view,
      client: this.#client,
      loads: this.#loads,
      pool: this.#evidence,
      crashReports: this.#crashReports,
      listServices: () => this.#listServices(),
    });
  }

  #createSelf(): Member {
    const { id, dataCentre, peers } = this.#settings;
    return {
      id,
      dataCentre,
      address: peers.address,
      peerPort: 0,
      callerPort: 0,
      incarnation: Date.now(),
      version: 1,
      state: 'joining',
      capacity: 1,
      load: 0,
    };
  }

  #createRequestPath(): RequestHandler {
    return new RequestHandler({
      clock: this.#clock,
      random: this.#random,
      view: this.#view,
      loads: this.#loads,
      limits: this.#limits,
      keyStore: this.#keyStore,
      crashReports: this.#crashReports,
      forwarder: this.#forwarder,
      decisions: this.#decisions,
      maxHeldBytes: this.#settings.maxHeldAnswerBytes,
      findService: (name) => this.#services.get(name),
      checkReady: (deadline) => this.#checkReady(deadline),
      hasFreeSlotElsewhere: (service) => this.#requestHandler.hasFreeSlotElsewhere(service),
      recordDraining: (upstreamId) => this.#reachability.recordDraining(upstreamId),
      crashInvestigator: new CrashInvestigator({
        reports: this.#crashReports,
        reachability: this.#reachability,
        probe: checkReachable,
        getEndpoint: (upstream) => this.#findEndpoint(upstream),
      }),
    });
  }

  #createGossip(): Gossip {
    return new Gossip({
      membership: this.#view.membership,
      documents: this.#documents,
      client: this.#client,
      random: this.#random,
      seeds: this.#settings.seeds,
      onNewerDocuments: (peer, versions) => this.#sync.handleNewer(peer, versions),
      onHeard: () => this.#pauseWatch.recordHeard(),
    });
  }

  #createDocumentSync(): DocumentSync {
    return new DocumentSync({
      clock: this.#clock,
      random: this.#random,
      log: this.#log,
      membership: this.#view.membership,
      documents: this.#documents,
      client: this.#client,
      services: this.#kvClients,
      onAccepted: () => {
        this.#gossip.recordNews();
        this.#refreshView();
      },
    });
  }

  #createMetrics(): Metrics {
    return new Metrics({
      countMembers: (state) =>
        this.#view.membership.members.list().filter((member) => member.state === state).length,
      getDocumentVersion: (name) => this.#documents.getVersion(name),
      countRefusedDocuments: () => this.#documents.refusedCount,
      countKeys: () => this.#keyStore.size,
      getControlBytes: () => this.#meter.bytes,
    });
  }

  #createEntryAnswers(): EntryAnswers {
    const { entryHoldSeconds, keyLifeSeconds } = this.#settings;
    return new EntryAnswers({
      clock: this.#clock,
      view: this.#view,
      holdSeconds: entryHoldSeconds,
      keyLifeSeconds,
    });
  }

  async #createPeerApp(): Promise<FastifyInstance> {
    return createPeerApp({
      settings: this.#settings,
      path: this.#requestHandler,
      meter: this.#meter,
      openReplies: this.#openReplies,
      handlers: {
        exchange: (message) => this.#gossip.handleExchange(message),
        probe: (request) => this.#gossip.handleProbe(request),
        fetchDocument: (request) => this.#sync.handleFetch(request),
        report: (report) => this.#reports.handleReport(report),
        lend: (request) => this.#limits.handleLend(request),
      },
    });
  }

  #createOperatorApp(): FastifyInstance {
    const getPhase = (): Phase => this.#getPhase();
    const { path, ledger } = { path: this.#requestHandler, ledger: this.#keyStore };
    return createOperatorApp({
      metrics: this.#metrics,
      decisions: this.#decisions,
      entries: this.#entries,
      status: {
        view: this.#view,
        listServices: () => this.#listServices(),
        listUnreachable: () => this.#reachability.listUnreachable(),
        get phase() {
          return getPhase();
        },
        get inFlight() {
          return path.inFlight;
        },
        get keyCount() {
          return ledger.size;
        },
      },
    });
  }

  #getPhase(): Phase {
    return this.#phase === 'serving' && this.#pauseWatch.isDoubting ? 'paused' : this.#phase;
  }

  /** Fetches state from peers and the platform, and serves once both documents are loaded. */
  async #join(): Promise<void> {
    await Promise.all([this.#gossip.join(), this.#sync.readAll()]);
    await this.#waitForDocuments();
    // A stop that began meanwhile stands: peers must not take this daemon for a serving one again.
    if (this.#phase !== 'joining') return;
    this.#phase = 'serving';
    this.#view.membership.setOwnState('serving');
    this.#refreshView();
    await this.#gossip.announce(ANNOUNCE_PEER_COUNT);
    this.#log.info('serving', { members: this.#view.membership.members.size });
  }

  async #waitForDocuments(): Promise<void> {
    if (this.#documents.isComplete()) return;
    await wait(POLL_INTERVAL_MS);
    await this.#waitForDocuments();
  }

  #startTimers(): void {
    const gossip = (): void => {
      this.#gossip.runRound().catch(() => undefined);
    };
    this.#timers = [
      setInterval(() => this.#runRequestTick(), REQUEST_TICK_INTERVAL_MS),
      setInterval(() => this.#runSystemTick(), SYSTEM_TICK_INTERVAL_MS),
      setInterval(gossip, GOSSIP_INTERVAL_MS),
    ];
  }

  #runRequestTick(): void {
    if (this.#pauseWatch.recordTick()) this.#handlePause();
    this.#requestHandler.runTick();
    this.#services.forEach((service) => service.pool.runTick());
  }

  #runSystemTick(): void {
    this.#refreshView();
    this.#sync.runTick();
    this.#reachability.runTick();
    this.#evidence.runTick();
    this.#crashReports.runTick();
    this.#limits.runTick();
    this.#keyStore.runTick(this.#clock.now());
    this.#services.forEach((service) => this.#runDetection(service));
    this.#reports.runTick();
  }

  #runDetection(service: ServiceState): void {
    const changes = service.runDetection(this.#evidence.listFor(service.name));
    changes.forEach(({ upstreamId, change, verdict }) => {
      this.#metrics.recordEjectionChange(service.name, change);
      this.#log.info('ejection', { service: service.name, upstream: upstreamId, change, verdict });
    });
  }

  #handlePause(): void {
    this.#log.warn('paused');
    this.#metrics.recordPause();
    this.#services.forEach((service) => service.pool.dropWaiting());
  }

  #checkReady(deadline: number): void {
    if (this.#phase === 'joining' || !this.#documents.isComplete()) {
      throw createRefusal('notReady', { retryAfterSeconds: 1 });
    }
    if (this.#pauseWatch.isLate() || this.#pauseWatch.isDoubting) throw createRefusal('paused');
    if (this.#phase === 'stopped' || deadline > this.#endsAt) {
      throw createRefusal('stopping', { retryAfterSeconds: 1 });
    }
  }

  /** Updates the services that this daemon dispatches to match the fleet view. */
  #refreshView(): void {
    if (!this.#view.refresh()) return;
    this.#view.services.list().forEach((row) => {
      const known = this.#services.get(row.id);
      if (!known && row.ownSlots.length === 0) return;
      const service = known ?? this.#createService(row.policy);
      service.applyPlacement(row);
    });
  }

  #createService(policy: ConstructorParameters<typeof ServiceState>[0]): ServiceState {
    const service = new ServiceState(policy, {
      clock: this.#clock,
      random: this.#random,
      reachability: this.#reachability,
      suspicion: this.#settings.suspicion,
      routing: this.#settings.routing,
      getOrigin: (upstream: Upstream) => {
        const { address, port } = this.#findEndpoint(upstream);
        return `http://${address}:${port}`;
      },
    });
    this.#services.set(policy.name, service);
    return service;
  }

  #listServices(): readonly ServiceState[] {
    return [...this.#services.values()].filter(({ pool }) => pool.slotCount > 0);
  }

  #findEndpoint({ address, port }: Endpoint): Endpoint {
    const override = this.#settings.connectOverrides.find(
      ({ from }) => from.address === address && from.port === port,
    );
    return override?.to ?? { address, port };
  }
}
