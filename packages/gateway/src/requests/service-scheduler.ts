/**
 * Schedules the requests of one service at one dispatcher: knows its upstreams, and chooses one for
 * each attempt. The requests that wait are kept by its queue.
 */
import { chooseNearFirst, mayHoldBody, ShedPauses } from '@baobabline/core';
import type {
  Clock,
  FarChoice,
  PlacementCandidate,
  RandomSource,
  RateLimitChange,
  RateLimitStatement,
  RegisteredUpstream,
  TrustChange,
  AttemptOutcome,
  FailureEstimator,
  SlidingWindowRetryBudgetSettings,
} from '@baobabline/core';

import type { ServiceMetrics, UpstreamCondition } from '../metrics/index.js';
import type { FarRouting } from './far-routing.js';
import type { PeerLoads } from './peer-loads.js';
import { ServiceQueue } from './service-queue.js';
import type { ServiceOverload } from './service-queue-types.js';
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
  /** Returns this daemon's part of an account's requests; undefined if it is unknown. */
  readonly findOwnPart: (accountName: string) => number | undefined;
  readonly createUpstream: (record: RegisteredUpstream) => UpstreamState;
  /** Called with the outcome of each answer that this dispatcher received. */
  readonly onAnswer: (judged: JudgedAnswer) => void;
  readonly onTrustChange: (upstreamId: string, change: TrustChange) => void;
  readonly onLinkChange: (upstreamId: string, change: TrustChange) => void;
  /** Whether large bodies at one upstream are bounded over the fleet. */
  readonly boundsBodies?: () => boolean;
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

export class ServiceScheduler {
  readonly name: string;

  readonly queue: ServiceQueue;

  readonly #dependencies: ServiceSchedulerDependencies;

  readonly #upstreams = new Map<string, UpstreamState>();

  readonly #sheds = new ShedPauses();

  constructor(name: string, ports: ServiceSchedulerDependencies) {
    this.name = name;
    this.#dependencies = ports;
    this.queue = new ServiceQueue({
      ...ports,
      countSlots: (now, meanAttemptMs) => this.#countSlots(now, meanAttemptMs),
      hasRandomShedding: () => this.isSheddingAtRandom,
      // Suspects are used, too, where a service is short; without them it would seem so at each failure.
      countAllSlots: () =>
        this.#listUsable(new Set()).reduce((sum, { record }) => sum + record.slots, 0),
    });
  }

  get far(): FarRouting | undefined {
    return this.#dependencies.far;
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
    this.#sheds.keep(new Set(this.#upstreams.keys()));
    this.queue.serve();
  }

  /** Summarizes the state of the service for metrics. */
  describe(): ServiceMetrics {
    const conditions = this.listUpstreams().map((state) => this.#describeUpstream(state));
    const count = (wanted: UpstreamCondition): number =>
      conditions.filter((condition) => condition === wanted).length;
    return {
      service: this.name,
      queuedRequests: this.queue.size,
      retryBudgetShare: this.queue.allowance.getShareLeft(),
      retrySlackShare: this.#dependencies.allowance.getSlackShare(),
      accountsOverShare: this.queue.describeOverload().accountsOverShare.length,
      limitedUpstreams: this.listUpstreams().filter(({ rateLimit }) => rateLimit.isLimited).length,
      upstreams: {
        trusted: count('trusted'),
        suspect: count('suspect'),
        unreachable: count('unreachable'),
        leaving: count('leaving'),
      },
    };
  }

  /** What was refused for want of capacity, for the log. */
  describeOverload(): ServiceOverload {
    return this.queue.describeOverload();
  }

  /** Chooses an upstream that has a free slot now. */
  choose(needs: PlacementNeeds): FarChoice | undefined {
    const { clock, dataCentre, random, trust } = this.#dependencies;
    const now = clock.now();
    const request = {
      ...needs,
      mayTest: this.queue.mayTest,
      computeMaxFailureProbability: () => this.queue.computeMaxFailureProbability(needs.timeLeftMs),
      dataCentre,
    };
    const near = this.#listCandidates(needs, now, true);
    const listAll = (): readonly PlacementCandidate[] => this.#listCandidates(needs, now, false);
    const choice = this.far
      ? this.far.choose(request, needs, near, listAll, this.queue.load, this.listUpstreams())
      : chooseNearFirst(request, near, listAll, random);
    if (choice?.reason === 'test') trust.recordTest(choice.upstreamId, now);
    return choice;
  }

  /** Whether any upstream could ever take the request. */
  hasUsable(excluded: ReadonlySet<string>): boolean {
    const { links, isCutOff, clock } = this.#dependencies;
    const usable = this.#listUsable(excluded);
    if (!isCutOff()) return usable.length > 0;
    const now = clock.now();
    return usable.some(({ record }) => !links.isSuspect(record.id, now));
  }

  /** Counts the upstreams whose rate limit permits no request now, for the log. */
  countWithoutPermit(): number {
    const now = this.#dependencies.clock.now();
    return this.#listUsable(new Set()).filter((state) => !this.#hasPermit(state, now)).length;
  }

  /** Records that a request is sent to an upstream, which uses up a permit of its rate limit. */
  recordStart(state: UpstreamState, bodyBytes = 0): void {
    state.recordStart(bodyBytes);
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
    this.#sheds.recordServed(upstreamId, this.#dependencies.clock.now());
    const change = trust.record({ upstreamId, isGood, at });
    onAnswer({ upstreamId, isGood, at, wasSuspect, change });
  }

  /** Records that an upstream shed a request, which had ended there when this is called. */
  recordShed(state: UpstreamState): void {
    const { id: upstreamId, slots } = state.record;
    const inFlight = this.#countInFlight(state) + 1;
    this.#sheds.recordShed({ upstreamId, at: this.#dependencies.clock.now(), inFlight, slots });
  }

  /** Whether most upstreams shed requests at random, also while they have free slots. */
  get isSheddingAtRandom(): boolean {
    return this.#sheds.hasRandomShedding(this.#dependencies.clock.now());
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
    if (change === 'trusted') this.queue.serve();
  }

  /** Records the rate limit that an answer states; `sentAt` is when its request was sent. */
  recordRateLimit(upstreamId: string, stated: RateLimitStatement, sentAt: number): void {
    const { clock, onRateLimitChange } = this.#dependencies;
    const state = this.#upstreams.get(upstreamId);
    const change = state?.rateLimit.recordStatement(stated, sentAt, clock.now());
    if (change) onRateLimitChange(upstreamId, change);
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

  /**
   * This dispatcher's share of the slots of trusted upstreams, by its share of requests in flight. Of
   * an upstream with a rate limit, only as many slots count as the permitted rate keeps busy.
   */
  #countSlots(now: number, meanAttemptMs: number): number {
    if (this.far) return this.far.countSlots(this.listUpstreams());
    const counted = this.#listCounted(now);
    const limitedSlots = counted.reduce(
      (sum, state) => sum + this.#countLimitedSlots(state, meanAttemptMs),
      0,
    );
    const unlimited = counted.filter(({ rateLimit }) => !rateLimit.isLimited);
    const slots = unlimited.reduce((sum, { record }) => sum + record.slots, 0);
    const own = unlimited.reduce((sum, { inFlight }) => sum + inFlight, 0);
    const all = unlimited.reduce((sum, state) => sum + this.#countInFlight(state), 0);
    const sharedSlots = all === 0 ? slots : (slots * Math.max(own, 1)) / Math.max(all, 1);
    return sharedSlots + limitedSlots;
  }

  /** The upstreams whose slots count: the trusted ones or, if there are none, all that may be used. */
  #listCounted(now: number): readonly UpstreamState[] {
    const { trust, links } = this.#dependencies;
    const states = this.#listUsable(new Set());
    const trusted = states.filter(
      ({ record }) => !trust.isSuspect(record.id, now) && !links.isSuspect(record.id, now),
    );
    return trusted.length > 0 ? trusted : states;
  }

  /** Slots of an upstream; of one with a rate limit, as many as the permitted rate keeps busy. */
  countSlots(state: UpstreamState): number {
    return state.rateLimit.isLimited
      ? this.#countLimitedSlots(state, this.queue.meanAttemptMs)
      : state.record.slots;
  }

  /** Slots that the permitted rate of a limited upstream keeps busy; 0 without a limit. */
  #countLimitedSlots({ rateLimit, record }: UpstreamState, meanAttemptMs: number): number {
    if (!rateLimit.isLimited) return 0;
    const share = this.#dependencies.getRateLimitShare(record.id);
    const ratePerMs = rateLimit.computeRatePerMs(share) ?? 0;
    return Math.min(record.slots, ratePerMs * meanAttemptMs);
  }

  /** Whether the rate limit of an upstream, if it has one, permits one more request now. */
  #hasPermit({ rateLimit, record }: UpstreamState, now: number): boolean {
    if (!rateLimit.isLimited) return true;
    return rateLimit.mayStart(this.#dependencies.getRateLimitShare(record.id), now);
  }

  #mayHoldBody(state: UpstreamState, bodyBytes: number): boolean {
    if (!this.#dependencies.boundsBodies?.()) return true;
    const { record, largeBytes } = state;
    const peersInFlight = this.countInFlightElsewhere(state);
    return mayHoldBody(bodyBytes, {
      slots: record.slots,
      ownLargeBytes: largeBytes,
      peersInFlight,
    });
  }

  /** Upstreams that may receive the request now: those of this data centre, or all. */
  #listCandidates(
    { excluded, bodyBytes }: PlacementNeeds,
    now: number,
    isNearOnly: boolean,
  ): readonly PlacementCandidate[] {
    const { dataCentre, links, isCutOff } = this.#dependencies;
    const open = [...this.#upstreams.values()].filter(
      (state) =>
        (!isNearOnly || state.record.dataCentre === dataCentre) &&
        !state.isLeaving &&
        !excluded.has(state.record.id) &&
        !this.#sheds.isPaused(state.record.id, now) &&
        this.#mayHoldBody(state, bodyBytes) &&
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
