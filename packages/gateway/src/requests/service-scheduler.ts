/**
 * Schedules the requests of one service at one dispatcher: chooses upstreams, queues requests until
 * an upstream has a free slot, and keeps the retry budget.
 */
import {
  ArrivalRate,
  chooseNearFirst,
  computeMaxFailureProbability,
  checkAdmission,
  RequestQueue,
  SlidingWindowRetryBudget,
} from '@baobabline/core';
import type {
  Clock,
  FarChoice,
  FarQueue,
  PlacementCandidate,
  RandomSource,
  RateLimitChange,
  RateLimitStatement,
  RegisteredUpstream,
  TrustChange,
  AttemptOutcome,
  FailureEstimator,
  QueuedRequest,
  QueueState,
  AdmissionDecision,
  SlidingWindowRetryBudgetSettings,
} from '@baobabline/core';

import type { ServiceMetrics, UpstreamCondition } from '../metrics/index.js';
import type { FarRouting } from './far-routing.js';
import type { PeerLoads } from './peer-loads.js';
import type { UpstreamState } from './upstream-state.js';

export type ServiceSchedulerDependencies = {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** Estimates failures from the answers that upstreams gave to any dispatcher. */
  readonly trust: FailureEstimator;
  /** Estimates whether this daemon can connect to an upstream. */
  readonly links: FailureEstimator;
  readonly peerLoads: PeerLoads;
  readonly dataCentre: string;
  /** Whether a data centre has a daemon that receives requests from callers. */
  readonly hasDispatcher: (dataCentre: string) => boolean;
  readonly allowance: SlidingWindowRetryBudgetSettings;
  readonly createUpstream: (record: RegisteredUpstream) => UpstreamState;
  /** Called with the outcome of each answer that this dispatcher received. */
  readonly onAnswer: (judged: JudgedAnswer) => void;
  readonly onTrustChange: (upstreamId: string, change: TrustChange) => void;
  readonly onLinkChange: (upstreamId: string, change: TrustChange) => void;
  /** Whether this daemon has lost its links to most upstreams. */
  readonly isCutOff: () => boolean;
  /** Called when a connection to an upstream could not be opened or used, or brought no answer. */
  readonly onFailure: (upstreamId: string) => void;
  /** Part of an upstream's rate limit that this dispatcher may use now, from 0 to 1. */
  readonly getRateLimitShare: (upstreamId: string) => number;
  /** Called when an upstream states another rate limit than before, or none any more. */
  readonly onRateLimitChange: (upstreamId: string, change: RateLimitChange) => void;
  /** Decides about other data centres where the settings switch it on. */
  readonly far?: FarRouting | undefined;
};

/** The outcome of an answer, and how it changed the failure estimate of its upstream. */
export type JudgedAnswer = AttemptOutcome & {
  readonly wasSuspect: boolean;
  readonly change: TrustChange | undefined;
};

/** A queued request, with callbacks that place or refuse it. */
export type QueuedPlacement = QueuedRequest & {
  /** Whether it may run more than once. */
  readonly isRepeatable: boolean;
  /** Tries to place the request; returns whether it can leave the queue. */
  readonly tryPlace: () => boolean;
  readonly onExpired: () => void;
  /** Called when the request could only be sent too late. */
  readonly onHopeless: (retryAfterMs: number) => void;
};

export type PlacementNeeds = {
  readonly isRepeatable: boolean;
  readonly canTryAgain: boolean;
  /** Time left until the deadline of the request, in milliseconds. */
  readonly timeLeftMs: number;
  /** Time left until the target latency is exceeded, in milliseconds; negative afterwards. */
  readonly targetLeftMs: number;
  readonly routeId: string;
  readonly bodyBytes: number;
  readonly excluded: ReadonlySet<string>;
};

/** Test requests leave this share of the retry budget to requests that fail unexpectedly. */
const MIN_BUDGET_SHARE_FOR_TESTS = 0.5;
/** Hedges leave this share of the retry budget to requests that fail. */
const MIN_BUDGET_SHARE_FOR_HEDGES = 0.3;
const QUEUE_POLL_INTERVAL_MS = 10;
/** How often the queue is checked for requests that can no longer be served in time. */
const ADMISSION_RECHECK_INTERVAL_MS = 100;
/** Assumed until the first attempt has ended. */
const INITIAL_ATTEMPT_MS = 150;
/** A computed slot count is reused for this long. */
const SLOT_COUNT_MAX_AGE_MS = 20;
/** Weight of the newest attempt in the moving average. */
const NEWEST_WEIGHT = 0.05;

export class ServiceScheduler {
  readonly name: string;

  readonly allowance: SlidingWindowRetryBudget;

  readonly #dependencies: ServiceSchedulerDependencies;

  readonly #upstreams = new Map<string, UpstreamState>();

  readonly #queue = new RequestQueue<QueuedPlacement>();

  #ticketCount = 0;

  readonly #arrivals: ArrivalRate;

  #meanAttemptMs = INITIAL_ATTEMPT_MS;

  #room = { at: Number.NEGATIVE_INFINITY, slots: 0 };

  #judgedAt = 0;

  #poll: NodeJS.Timeout | undefined;

  constructor(name: string, ports: ServiceSchedulerDependencies) {
    this.name = name;
    this.#dependencies = ports;
    this.allowance = new SlidingWindowRetryBudget(ports.allowance, ports.clock);
    this.#arrivals = new ArrivalRate(ports.clock);
  }

  get far(): FarRouting | undefined {
    return this.#dependencies.far;
  }

  get waitingCount(): number {
    return this.#queue.size;
  }

  listUpstreams(): readonly UpstreamState[] {
    return [...this.#upstreams.values()];
  }

  find(upstreamId: string): UpstreamState | undefined {
    return this.#upstreams.get(upstreamId);
  }

  /** Adds, updates and removes upstreams so that they match the records of this service. */
  applyRecords(records: readonly RegisteredUpstream[]): void {
    const wanted = new Map(records.map((record) => [record.id, record]));
    const dropped: UpstreamState[] = [];
    this.#upstreams.forEach((state, id) => {
      const record = wanted.get(id);
      if (record && state.isSameStart(record)) {
        state.applyRecord(record);
        return;
      }
      this.#upstreams.delete(id);
      dropped.push(state);
      if (record) this.#forgetEarlierStart(id);
    });
    records
      .filter(({ id }) => !this.#upstreams.has(id))
      .forEach((record) =>
        this.#upstreams.set(record.id, this.#dependencies.createUpstream(record)),
      );
    // Requests that are withdrawn here are placed anew at once, so all records are applied before.
    dropped.forEach(({ pool }) => pool.close());
    this.#upstreams.forEach((state) => state.drainIfLeaving());
    this.serveQueue();
  }

  /** Counts a new request towards the retry budget and the arrival rate. */
  recordArrival(): void {
    this.allowance.recordRequest();
    this.#arrivals.recordArrival();
    this.far?.recordArrival();
  }

  /** Summarizes the state of the service for metrics. */
  describe(): ServiceMetrics {
    const conditions = this.listUpstreams().map((state) => this.#describeUpstream(state));
    const count = (wanted: UpstreamCondition): number =>
      conditions.filter((condition) => condition === wanted).length;
    return {
      service: this.name,
      queuedRequests: this.#queue.size,
      retryBudgetShare: this.allowance.getShareLeft(),
      limitedUpstreams: this.listUpstreams().filter(({ rateLimit }) => rateLimit.isLimited).length,
      upstreams: {
        trusted: count('trusted'),
        suspect: count('suspect'),
        unreachable: count('unreachable'),
        leaving: count('leaving'),
      },
    };
  }

  /** Chooses an upstream that has a free slot now. */
  choose(needs: PlacementNeeds): FarChoice | undefined {
    const { clock, dataCentre, random, trust } = this.#dependencies;
    const now = clock.now();
    const request = {
      ...needs,
      mayTest: this.allowance.getShareLeft() >= MIN_BUDGET_SHARE_FOR_TESTS,
      computeMaxFailureProbability: () =>
        computeMaxFailureProbability(this.#computeQueueState(this.#queue.size), needs.timeLeftMs),
      dataCentre,
    };
    const near = this.#listCandidates(needs, now, true);
    const listAll = (): readonly PlacementCandidate[] => this.#listCandidates(needs, now, false);
    const choice = this.far
      ? this.far.choose(request, needs, near, listAll, this.#describeQueue(), this.listUpstreams())
      : chooseNearFirst(request, near, listAll, random);
    if (choice?.reason === 'test') trust.recordTest(choice.upstreamId, now);
    return choice;
  }

  #describeQueue(): FarQueue {
    return { waiting: this.#queue.size, arrivalsPerMs: this.#arrivals.getPerMs() };
  }

  /** Whether any upstream could ever take the request. */
  hasUsable(excluded: ReadonlySet<string>): boolean {
    const { links, isCutOff, clock } = this.#dependencies;
    const usable = this.#listUsable(excluded);
    if (!isCutOff()) return usable.length > 0;
    const now = clock.now();
    return usable.some(({ record }) => !links.isSuspect(record.id, now));
  }

  /** Decides whether a request should be queued. */
  judgeWait(request: QueuedRequest): AdmissionDecision {
    const ahead = this.#queue.countAhead(request, this.#dependencies.clock.now());
    return this.#judgeWaiting(request, this.#computeQueueState(ahead));
  }

  /** The state of the queue as a request joining it would find it, for the log. */
  describeQueueState(request: QueuedRequest): QueueState & { readonly withoutPermit: number } {
    const now = this.#dependencies.clock.now();
    const withoutPermit = this.#listUsable(new Set()).filter(
      (state) => !this.#hasPermit(state, now),
    ).length;
    return {
      ...this.#computeQueueState(this.#queue.countAhead(request, now)),
      withoutPermit,
    };
  }

  /** Records that a request is sent to an upstream, which uses up a permit of its rate limit. */
  recordStart(state: UpstreamState): void {
    state.recordStart();
    const { rateLimit, record } = state;
    if (!rateLimit.isLimited) return;
    const { clock, getRateLimitShare } = this.#dependencies;
    rateLimit.recordStart(getRateLimitShare(record.id), clock.now());
  }

  /** What decides about the rate limit of an upstream, for the log; empty if it has none. */
  describeRateLimit({ rateLimit, record }: UpstreamState): Readonly<Record<string, number>> {
    const { perSecond, statedAt } = rateLimit.known;
    if (perSecond === undefined) return {};
    const { clock, getRateLimitShare } = this.#dependencies;
    return {
      limitPerSecond: perSecond,
      limitAgeMs: Math.round(clock.now() - statedAt),
      limitShare: getRateLimitShare(record.id),
    };
  }

  /** Takes a hedge from the retry budget if enough of the budget is left. */
  takeHedge(): boolean {
    return (
      this.allowance.getShareLeft() >= MIN_BUDGET_SHARE_FOR_HEDGES && this.allowance.takeRetry()
    );
  }

  /** Queues a request; returns what names its place, since several may bear the same id. */
  wait(waiter: QueuedPlacement): string {
    this.#ticketCount += 1;
    const ticket = String(this.#ticketCount);
    this.#queue.add({ ...waiter, id: ticket });
    this.#startPolling();
    return ticket;
  }

  removeWaiting(ticket: string): void {
    this.#queue.remove(ticket);
  }

  /**
   * Places queued requests while upstreams have free slots. If a first attempt finds no slot, later
   * requests that are as repeatable as it is are skipped, since they would find none either.
   */
  serveQueue(): void {
    if (this.#queue.size === 0) return;
    const blocked = new Set<boolean>();
    this.#queue.list(this.#dependencies.clock.now()).every((waiter) => {
      if (blocked.has(waiter.isRepeatable)) return true;
      if (waiter.tryPlace()) this.#queue.remove(waiter.id);
      else if (!waiter.isRetry) blocked.add(waiter.isRepeatable);
      return blocked.size < 2;
    });
  }

  /** Closes connections that have been idle for long, and probes failed links. */
  runTick(): void {
    this.#upstreams.forEach(({ pool }) => pool.runTick());
    this.far?.runTick();
    this.#probeLinks();
  }

  /** Probes failed links, so that no request loses time on a connection that cannot be opened. */
  #probeLinks(): void {
    const { links, clock } = this.#dependencies;
    if (!links.hasRecords) return;
    const now = clock.now();
    this.#listUsable(new Set())
      .filter(({ record: { id } }) => links.isSuspect(id, now) && links.isTestDue(id, now))
      .forEach(({ record: { id }, pool }) => {
        links.recordTest(id, now);
        pool.probe((isReached) => this.recordReach(id, isReached));
      });
  }

  /** Records an upstream's answer for this dispatcher and its peers. */
  recordAnswer(upstreamId: string, isGood: boolean, at: number): void {
    const { trust, onAnswer } = this.#dependencies;
    const wasSuspect = trust.isSuspect(upstreamId, at);
    const change = trust.record({ upstreamId, isGood, at });
    onAnswer({ upstreamId, isGood, at, wasSuspect, change });
  }

  /**
   * Records that no answer came, because the upstream stayed silent or the connection was lost. The
   * cause may be the link from this daemon, so the outcome is not reported to other dispatchers.
   */
  recordNoAnswer(upstreamId: string, isSilent: boolean): void {
    const { trust, clock, onTrustChange } = this.#dependencies;
    const change = trust.record({ upstreamId, isGood: false, at: clock.now(), isSilent });
    if (change) onTrustChange(upstreamId, change);
    this.#upstreams.get(upstreamId)?.pool.closeIdle();
    this.#dependencies.onFailure(upstreamId);
  }

  /** Records whether a connection to an upstream could be opened or used. */
  recordReach(upstreamId: string, isGood: boolean): void {
    const { links, clock, onLinkChange } = this.#dependencies;
    const change = links.record({ upstreamId, isGood, at: clock.now() });
    if (change) onLinkChange(upstreamId, change);
    if (!isGood) {
      this.#upstreams.get(upstreamId)?.pool.closeIdle();
      this.#dependencies.onFailure(upstreamId);
    }
    if (change === 'trusted') this.serveQueue();
  }

  /** Records the rate limit that an answer states; `sentAt` is when its request was sent. */
  recordRateLimit(upstreamId: string, stated: RateLimitStatement, sentAt: number): void {
    const { clock, onRateLimitChange } = this.#dependencies;
    const state = this.#upstreams.get(upstreamId);
    const change = state?.rateLimit.recordStatement(stated, sentAt, clock.now());
    if (change) onRateLimitChange(upstreamId, change);
  }

  recordAttemptTime(elapsedMs: number): void {
    this.#meanAttemptMs += (elapsedMs - this.#meanAttemptMs) * NEWEST_WEIGHT;
  }

  /** Polls, since no event tells when a peer frees a slot or an upstream's pause ends. */
  #startPolling(): void {
    this.#poll ??= setTimeout(() => {
      this.#poll = undefined;
      const now = this.#dependencies.clock.now();
      this.#queue.takeExpired(now).forEach((waiter) => waiter.onExpired());
      this.serveQueue();
      this.#refuseHopeless(now);
      if (this.#queue.size > 0) this.#startPolling();
    }, QUEUE_POLL_INTERVAL_MS);
  }

  /** Refuses queued requests that can no longer be sent in time since slots have been lost. */
  #refuseHopeless(now: number): void {
    if (now - this.#judgedAt < ADMISSION_RECHECK_INTERVAL_MS) return;
    this.#judgedAt = now;
    const state = this.#computeQueueState(0);
    this.#queue.list(now).forEach((waiter, ahead) => {
      const verdict = this.#judgeWaiting(waiter, { ...state, waiting: ahead });
      if (verdict.kind === 'wait') return;
      this.#queue.remove(waiter.id);
      waiter.onHopeless(verdict.retryAfterMs);
    });
  }

  #judgeWaiting(
    { targetAt, latestSendAt: giveUpAt, isRetry: isRepeat }: QueuedRequest,
    state: QueueState,
  ): AdmissionDecision {
    const now = this.#dependencies.clock.now();
    const timeLeftMs = giveUpAt - now;
    // New requests never overtake a retry, even a late one.
    const limits = { targetLeftMs: isRepeat ? timeLeftMs : targetAt - now, timeLeftMs };
    return checkAdmission(state, limits, this.#dependencies.random);
  }

  #describeUpstream({ isLeaving, record }: UpstreamState): UpstreamCondition {
    const { trust, links, clock } = this.#dependencies;
    const now = clock.now();
    if (isLeaving) return 'leaving';
    if (links.isSuspect(record.id, now)) return 'unreachable';
    return trust.isSuspect(record.id, now) ? 'suspect' : 'trusted';
  }

  #forgetEarlierStart(id: string): void {
    const { trust, links } = this.#dependencies;
    trust.forget(id);
    links.forget(id);
  }

  #listUsable(excluded: ReadonlySet<string>): readonly UpstreamState[] {
    return [...this.#upstreams.values()].filter(
      (state) => !state.isLeaving && !excluded.has(state.record.id),
    );
  }

  /** Requests of other daemons in flight at an upstream, as far as they have reported them. */
  countInFlightElsewhere({ reportName }: UpstreamState): number {
    return this.#dependencies.peerLoads.count(reportName);
  }

  #countInFlight({ reportName, inFlight }: UpstreamState): number {
    return inFlight + this.#dependencies.peerLoads.count(reportName);
  }

  /** The queue state for a request that has `ahead` requests before it. */
  #computeQueueState(ahead: number): QueueState {
    const now = this.#dependencies.clock.now();
    if (now - this.#room.at >= SLOT_COUNT_MAX_AGE_MS)
      this.#room = { at: now, slots: this.#computeRoom(now) };
    return {
      waiting: ahead,
      slots: this.#room.slots,
      meanAttemptMs: this.#meanAttemptMs,
      arrivalsPerMs: this.#arrivals.getPerMs(),
    };
  }

  /**
   * This dispatcher's share of the slots of trusted upstreams, by its share of requests in flight. Of
   * an upstream with a rate limit, only as many slots count as the permitted rate keeps busy.
   */
  #computeRoom(now: number): number {
    if (this.far) return this.far.countSlots(this.listUpstreams());
    const { trust, links } = this.#dependencies;
    const states = this.#listUsable(new Set());
    const trusted = states.filter(
      ({ record }) => !trust.isSuspect(record.id, now) && !links.isSuspect(record.id, now),
    );
    const counted = trusted.length > 0 ? trusted : states;
    const limitedSlots = counted.reduce((sum, state) => sum + this.#countLimitedSlots(state), 0);
    const unlimited = counted.filter(({ rateLimit }) => !rateLimit.isLimited);
    const slots = unlimited.reduce((sum, { record }) => sum + record.slots, 0);
    const own = unlimited.reduce((sum, { inFlight }) => sum + inFlight, 0);
    const all = unlimited.reduce((sum, state) => sum + this.#countInFlight(state), 0);
    const sharedSlots = all === 0 ? slots : (slots * Math.max(own, 1)) / Math.max(all, 1);
    return sharedSlots + limitedSlots;
  }

  /** Slots of an upstream; of one with a rate limit, as many as the permitted rate keeps busy. */
  countSlots(state: UpstreamState): number {
    return state.rateLimit.isLimited ? this.#countLimitedSlots(state) : state.record.slots;
  }

  /** Slots that the permitted rate of a limited upstream keeps busy; 0 without a limit. */
  #countLimitedSlots({ rateLimit, record }: UpstreamState): number {
    if (!rateLimit.isLimited) return 0;
    const share = this.#dependencies.getRateLimitShare(record.id);
    const ratePerMs = rateLimit.computeRatePerMs(share) ?? 0;
    return Math.min(record.slots, ratePerMs * this.#meanAttemptMs);
  }

  /** Whether the rate limit of an upstream, if it has one, permits one more request now. */
  #hasPermit({ rateLimit, record }: UpstreamState, now: number): boolean {
    if (!rateLimit.isLimited) return true;
    return rateLimit.mayStart(this.#dependencies.getRateLimitShare(record.id), now);
  }

  /** Upstreams that may receive the request now: those of this data centre, or all. */
  #listCandidates(
    { excluded }: PlacementNeeds,
    now: number,
    isNearOnly: boolean,
  ): readonly PlacementCandidate[] {
    const { dataCentre, links, isCutOff } = this.#dependencies;
    const open = [...this.#upstreams.values()].filter(
      (state) =>
        (!isNearOnly || state.record.dataCentre === dataCentre) &&
        !state.isLeaving &&
        !excluded.has(state.record.id) &&
        !state.isPaused(now) &&
        this.#hasPermit(state, now),
    );
    const reached = open.filter(({ record }) => !links.isSuspect(record.id, now));
    // Links that are believed broken are tried for want of others, unless they are known to be.
    const usable = reached.length > 0 || isNearOnly || isCutOff() ? reached : open;
    return usable.map((state) => this.#buildCandidate(state, now));
  }

  /** Each data centre tests its own suspect upstreams; a test's outcome is shared with the others. */
  #mayTestFromHere({ dataCentre }: RegisteredUpstream): boolean {
    return (
      dataCentre === this.#dependencies.dataCentre || !this.#dependencies.hasDispatcher(dataCentre)
    );
  }

  #buildCandidate(state: UpstreamState, now: number): PlacementCandidate {
    const { trust } = this.#dependencies;
    const { id, dataCentre, slots } = state.record;
    const risk = trust.getFailureProbability(id, now);
    const isSuspect = trust.isSuspect(id, now);
    return {
      id,
      dataCentre,
      slots,
      inFlight: this.#countInFlight(state),
      failureProbability: risk,
      isSuspect,
      isTestDue: isSuspect && this.#mayTestFromHere(state.record) && trust.isTestDue(id, now),
      warmUpMs: Math.max(0, state.warmUntil - now),
    };
  }
}
