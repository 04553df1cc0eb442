/**
 * One service at one dispatcher: the upstreams that may be used, the requests that wait for room,
 * and the allowance for repeats.
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
  PlacementCandidate,
  PlacementChoice,
  RandomSource,
  RegisteredUpstream,
  TrustChange,
  AttemptOutcome,
  FailureEstimator,
  QueuedRequest,
  QueueState,
  AdmissionDecision,
  SlidingWindowRetryBudgetSettings,
} from '@baobabline/core';

import type { ServiceFigures, UpstreamCondition } from '../metrics/index.js';
import type { PeerLoads } from './peer-loads.js';
import type { UpstreamState } from './upstream-state.js';

export type DeskPorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** What upstreams answered, to any dispatcher. */
  readonly trust: FailureEstimator;
  /** Whether this daemon reaches them. */
  readonly links: FailureEstimator;
  readonly peerLoads: PeerLoads;
  readonly dataCentre: string;
  /** Whether callers are sent to a daemon of a data centre. */
  readonly hasDispatcher: (dataCentre: string) => boolean;
  readonly allowance: SlidingWindowRetryBudgetSettings;
  readonly createUpstream: (record: RegisteredUpstream) => UpstreamState;
  /** Called with each answer that this dispatcher has judged. */
  readonly onAnswer: (judged: JudgedAnswer) => void;
  readonly onTrustChange: (upstreamId: string, change: TrustChange) => void;
  readonly onLinkChange: (upstreamId: string, change: TrustChange) => void;
};

/** What an answer has shown of its upstream. */
export type JudgedAnswer = AttemptOutcome & {
  readonly wasSuspect: boolean;
  readonly change: TrustChange | undefined;
};

/** A request that can be placed once there is room. */
export type Waiter = QueuedRequest & {
  /** Whether it may run more than once. */
  readonly isRepeatable: boolean;
  /** Tries to place the request; returns whether it left the line. */
  readonly tryPlace: () => boolean;
  readonly onExpired: () => void;
  /** Called when it is certain that the turn would come too late. */
  readonly onHopeless: (retryAfterMs: number) => void;
};

export type PlacementNeeds = {
  readonly isRepeatable: boolean;
  readonly canTryAgain: boolean;
  /** What is left until the request is given up, in milliseconds. */
  readonly timeLeftMs: number;
  readonly bodyBytes: number;
  readonly excluded: ReadonlySet<string>;
};

/** Tests leave this part of the allowance to requests that fail unexpectedly. */
const MIN_SHARE_FOR_TESTS = 0.5;
/** Hedges leave this part of the allowance to requests that fail. */
const MIN_SHARE_FOR_HEDGES = 0.3;
/** While requests wait, room is looked for so often, in milliseconds. */
const LINE_POLL_MS = 10;
/** How often it is asked whether those who wait can still be served, in milliseconds. */
const JUDGE_INTERVAL_MS = 100;
/** Until attempts have been seen, in milliseconds. */
const INITIAL_ATTEMPT_MS = 150;
/** What there is room for is used again for so long, in milliseconds. */
const ROOM_AGE_MS = 20;
/** Weight of the newest attempt in the average. */
const NEWEST_WEIGHT = 0.05;

export class ServiceDesk {
  readonly name: string;

  readonly allowance: SlidingWindowRetryBudget;

  readonly #ports: DeskPorts;

  readonly #upstreams = new Map<string, UpstreamState>();

  readonly #line = new RequestQueue<Waiter>();

  readonly #arrivals: ArrivalRate;

  #meanAttemptMs = INITIAL_ATTEMPT_MS;

  #room = { at: Number.NEGATIVE_INFINITY, slots: 0 };

  #judgedAt = 0;

  #poll: NodeJS.Timeout | undefined;

  constructor(name: string, ports: DeskPorts) {
    this.name = name;
    this.#ports = ports;
    this.allowance = new SlidingWindowRetryBudget(ports.allowance, ports.clock);
    this.#arrivals = new ArrivalRate(ports.clock);
  }

  get waitingCount(): number {
    return this.#line.size;
  }

  listUpstreams(): readonly UpstreamState[] {
    return [...this.#upstreams.values()];
  }

  find(upstreamId: string): UpstreamState | undefined {
    return this.#upstreams.get(upstreamId);
  }

  /** Brings the upstreams in line with the records of this service. */
  applyRecords(records: readonly RegisteredUpstream[]): void {
    const wanted = new Map(records.map((record) => [record.id, record]));
    this.#upstreams.forEach((state, id) => {
      const record = wanted.get(id);
      if (record && state.isSameStart(record)) state.applyRecord(record);
      else this.#drop(id, state);
    });
    records
      .filter(({ id }) => !this.#upstreams.has(id))
      .forEach((record) => this.#upstreams.set(record.id, this.#ports.createUpstream(record)));
    this.serveLine();
  }

  /** Notes that a request has been taken in. */
  recordArrival(): void {
    this.allowance.recordRequest();
    this.#arrivals.recordArrival();
  }

  /** How the service stands, for metrics. */
  describe(): ServiceFigures {
    const conditions = this.listUpstreams().map((state) => this.#describeUpstream(state));
    const count = (wanted: UpstreamCondition): number =>
      conditions.filter((condition) => condition === wanted).length;
    return {
      service: this.name,
      waiting: this.#line.size,
      allowanceShare: this.allowance.getShareLeft(),
      upstreams: {
        trusted: count('trusted'),
        suspect: count('suspect'),
        unreachable: count('unreachable'),
        leaving: count('leaving'),
      },
    };
  }

  /** Chooses an upstream that has room now. */
  choose(needs: PlacementNeeds): PlacementChoice | undefined {
    const { clock, dataCentre, random, trust } = this.#ports;
    const now = clock.now();
    const choice = chooseNearFirst(
      {
        ...needs,
        mayTest: this.allowance.getShareLeft() >= MIN_SHARE_FOR_TESTS,
        computeMaxFailureProbability: () =>
          computeMaxFailureProbability(this.#computeWaitState(this.#line.size), needs.timeLeftMs),
        dataCentre,
      },
      this.#listCandidates(needs, now, true),
      () => this.#listCandidates(needs, now, false),
      random,
    );
    if (choice?.reason === 'test') trust.recordTest(choice.upstreamId, now);
    return choice;
  }

  /** Whether any upstream could ever take the request. */
  hasUsable(excluded: ReadonlySet<string>): boolean {
    return this.#listUsable(excluded).length > 0;
  }

  /** Judges whether a request should join the line. */
  judgeWait(request: QueuedRequest): AdmissionDecision {
    const ahead = this.#line.countAhead(request, this.#ports.clock.now());
    return this.#judgeWaiting(request, this.#computeWaitState(ahead));
  }

  /** What a request that would join the line has to expect, for the log. */
  describeWait(request: QueuedRequest): QueueState {
    return this.#computeWaitState(this.#line.countAhead(request, this.#ports.clock.now()));
  }

  /** Takes a hedge out of the allowance if enough of it is left. */
  takeHedge(): boolean {
    return this.allowance.getShareLeft() >= MIN_SHARE_FOR_HEDGES && this.allowance.takeRetry();
  }

  wait(waiter: Waiter): void {
    this.#line.add(waiter);
    this.#startPolling();
  }

  removeWaiting(id: string): void {
    this.#line.remove(id);
  }

  /**
   * Lets waiting requests in as far as there is room. Where one finds none, those behind it that
   * may do the same find none either.
   */
  serveLine(): void {
    if (this.#line.size === 0) return;
    const blocked = new Set<boolean>();
    this.#line.list(this.#ports.clock.now()).every((waiter) => {
      if (blocked.has(waiter.isRepeatable)) return true;
      if (waiter.tryPlace()) this.#line.remove(waiter.id);
      else if (!waiter.isRetry) blocked.add(waiter.isRepeatable);
      return blocked.size < 2;
    });
  }

  /** Closes connections that have been idle for long, and tries links that have failed. */
  runTick(): void {
    this.#upstreams.forEach(({ pool }) => pool.runTick());
    this.#probeLinks();
  }

  /** A request that tried a broken link would lose the time that opening a connection may take. */
  #probeLinks(): void {
    const { links, clock } = this.#ports;
    if (!links.hasRecords) return;
    const now = clock.now();
    this.#listUsable(new Set())
      .filter(({ record: { id } }) => links.isSuspect(id, now) && links.isTestDue(id, now))
      .forEach(({ record: { id }, pool }) => {
        links.recordTest(id, now);
        pool.probe((isReached) => this.recordReach(id, isReached));
      });
  }

  /** Notes what an upstream answered, for this dispatcher and its peers. */
  recordAnswer(upstreamId: string, isGood: boolean, at: number): void {
    const { trust, onAnswer } = this.#ports;
    const wasSuspect = trust.isSuspect(upstreamId, at);
    const change = trust.record({ upstreamId, isGood, at });
    onAnswer({ upstreamId, isGood, at, wasSuspect, change });
  }

  /**
   * Notes that no answer came: in silence, or as the connection was lost. It may be the link from
   * here, so that it says nothing to other dispatchers, which see for themselves.
   */
  recordNoAnswer(upstreamId: string, isSilent: boolean): void {
    const { trust, clock, onTrustChange } = this.#ports;
    const change = trust.record({ upstreamId, isGood: false, at: clock.now(), isSilent });
    if (change) onTrustChange(upstreamId, change);
    this.#upstreams.get(upstreamId)?.pool.closeIdle();
  }

  /** Notes whether a connection to an upstream could be opened or used. */
  recordReach(upstreamId: string, isGood: boolean): void {
    const { links, clock, onLinkChange } = this.#ports;
    const change = links.record({ upstreamId, isGood, at: clock.now() });
    if (change) onLinkChange(upstreamId, change);
    if (!isGood) this.#upstreams.get(upstreamId)?.pool.closeIdle();
    if (change === 'trusted') this.serveLine();
  }

  recordAttemptTime(elapsedMs: number): void {
    this.#meanAttemptMs += (elapsedMs - this.#meanAttemptMs) * NEWEST_WEIGHT;
  }

  /** Room may also come from peers and from pauses that end, which no event tells. */
  #startPolling(): void {
    this.#poll ??= setTimeout(() => {
      this.#poll = undefined;
      const now = this.#ports.clock.now();
      this.#line.takeExpired(now).forEach((waiter) => waiter.onExpired());
      this.serveLine();
      this.#refuseHopeless(now);
      if (this.#line.size > 0) this.#startPolling();
    }, LINE_POLL_MS);
  }

  /** Sends away at once whose turn will come too late, as room has shrunk since they joined. */
  #refuseHopeless(now: number): void {
    if (now - this.#judgedAt < JUDGE_INTERVAL_MS) return;
    this.#judgedAt = now;
    const state = this.#computeWaitState(0);
    this.#line.list(now).forEach((waiter, ahead) => {
      const verdict = this.#judgeWaiting(waiter, { ...state, waiting: ahead });
      if (verdict.kind === 'wait') return;
      this.#line.remove(waiter.id);
      waiter.onHopeless(verdict.retryAfterMs);
    });
  }

  #judgeWaiting(
    { targetAt, latestSendAt: giveUpAt, isRetry: isRepeat }: QueuedRequest,
    state: QueueState,
  ): AdmissionDecision {
    const now = this.#ports.clock.now();
    const timeLeftMs = giveUpAt - now;
    // Nothing that arrives goes before a repeat, also when it is late.
    const limits = { targetLeftMs: isRepeat ? timeLeftMs : targetAt - now, timeLeftMs };
    return checkAdmission(state, limits, this.#ports.random);
  }

  #describeUpstream({ isLeaving, record }: UpstreamState): UpstreamCondition {
    const { trust, links, clock } = this.#ports;
    const now = clock.now();
    if (isLeaving) return 'leaving';
    if (links.isSuspect(record.id, now)) return 'unreachable';
    return trust.isSuspect(record.id, now) ? 'suspect' : 'trusted';
  }

  #drop(id: string, state: UpstreamState): void {
    state.pool.close();
    this.#upstreams.delete(id);
  }

  #listUsable(excluded: ReadonlySet<string>): readonly UpstreamState[] {
    return [...this.#upstreams.values()].filter(
      (state) => !state.isLeaving && !excluded.has(state.record.id),
    );
  }

  #countInFlight({ reportName, inFlight }: UpstreamState): number {
    return inFlight + this.#ports.peerLoads.count(reportName);
  }

  /** What a request has to expect behind so many others. */
  #computeWaitState(ahead: number): QueueState {
    const now = this.#ports.clock.now();
    if (now - this.#room.at >= ROOM_AGE_MS) this.#room = { at: now, slots: this.#computeRoom(now) };
    return {
      waiting: ahead,
      slots: this.#room.slots,
      meanAttemptMs: this.#meanAttemptMs,
      arrivalsPerMs: this.#arrivals.getPerMs(),
    };
  }

  /** Slots that this dispatcher may count on: its share, by what it has in flight, of the sound. */
  #computeRoom(now: number): number {
    const { trust, links } = this.#ports;
    const states = this.#listUsable(new Set());
    const trusted = states.filter(
      ({ record }) => !trust.isSuspect(record.id, now) && !links.isSuspect(record.id, now),
    );
    const counted = trusted.length > 0 ? trusted : states;
    const slots = counted.reduce((sum, { record }) => sum + record.slots, 0);
    const own = counted.reduce((sum, { inFlight }) => sum + inFlight, 0);
    const all = counted.reduce((sum, state) => sum + this.#countInFlight(state), 0);
    return all === 0 ? slots : (slots * Math.max(own, 1)) / Math.max(all, 1);
  }

  /** Upstreams that a request may go to now: the near ones alone, or all. */
  #listCandidates(
    { excluded }: PlacementNeeds,
    now: number,
    isNearOnly: boolean,
  ): readonly PlacementCandidate[] {
    const { dataCentre, links } = this.#ports;
    const open = [...this.#upstreams.values()].filter(
      (state) =>
        (!isNearOnly || state.record.dataCentre === dataCentre) &&
        !state.isLeaving &&
        !excluded.has(state.record.id) &&
        !state.isPaused(now),
    );
    const reached = open.filter(({ record }) => !links.isSuspect(record.id, now));
    const usable = reached.length > 0 || isNearOnly ? reached : open;
    return usable.map((state) => this.#buildCandidate(state, now));
  }

  /** Each data centre tests its own suspects, so that one test counts for all. */
  #mayTestFromHere({ dataCentre }: RegisteredUpstream): boolean {
    return dataCentre === this.#ports.dataCentre || !this.#ports.hasDispatcher(dataCentre);
  }

  #buildCandidate(state: UpstreamState, now: number): PlacementCandidate {
    const { trust } = this.#ports;
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
