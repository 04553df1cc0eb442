/**
 * One service at one dispatcher: the upstreams that may be used, the requests that wait for room,
 * and the allowance for repeats.
 */
import {
  chooseUpstream,
  computeMaxRisk,
  judgeWait,
  WaitingLine,
  WindowAllowance,
} from '@baobabline/core';
import type {
  Clock,
  PlacementCandidate,
  PlacementChoice,
  RandomSource,
  RegisteredUpstream,
  TrustChange,
  TrustEvent,
  UpstreamTrust,
  WaitingRequest,
  WaitState,
  WaitVerdict,
  WindowAllowanceSettings,
} from '@baobabline/core';

import type { PeerLoads } from './peer-loads.js';
import type { UpstreamState } from './upstream-state.js';

export type DeskPorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly trust: UpstreamTrust;
  readonly peerLoads: PeerLoads;
  readonly dataCentre: string;
  readonly allowance: WindowAllowanceSettings;
  readonly createUpstream: (record: RegisteredUpstream) => UpstreamState;
  /** Called with each answer that this dispatcher has judged. */
  readonly onAnswer: (judged: JudgedAnswer) => void;
  readonly onTrustChange: (upstreamId: string, change: TrustChange) => void;
};

/** What an answer has shown of its upstream. */
export type JudgedAnswer = TrustEvent & {
  readonly wasSuspect: boolean;
  readonly change: TrustChange | undefined;
};

/** A request that can be placed once there is room. */
export type Waiter = WaitingRequest & {
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
/** Weight of the newest attempt in the average. */
const NEWEST_WEIGHT = 0.05;

export class ServiceDesk {
  readonly name: string;

  readonly allowance: WindowAllowance;

  readonly #ports: DeskPorts;

  readonly #upstreams = new Map<string, UpstreamState>();

  readonly #line = new WaitingLine<Waiter>();

  #meanAttemptMs = INITIAL_ATTEMPT_MS;

  #judgedAt = 0;

  #poll: NodeJS.Timeout | undefined;

  constructor(name: string, ports: DeskPorts) {
    this.name = name;
    this.#ports = ports;
    this.allowance = new WindowAllowance(ports.allowance, ports.clock);
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

  /** Chooses an upstream that has room now. */
  choose(needs: PlacementNeeds): PlacementChoice | undefined {
    const { clock, dataCentre, random, trust } = this.#ports;
    const now = clock.now();
    const candidates = this.#listUsable(needs.excluded)
      .filter((state) => !state.isPaused(now))
      .map((state) => this.#buildCandidate(state, now));
    const choice = chooseUpstream(
      {
        ...needs,
        mayTest: this.allowance.getShareLeft() >= MIN_SHARE_FOR_TESTS,
        maxRisk: computeMaxRisk(this.#computeWaitState(this.#line.size), needs.timeLeftMs),
        dataCentre,
      },
      candidates,
      random,
    );
    if (choice?.reason === 'test') trust.recordTest(choice.upstreamId, now);
    return choice;
  }

  /** Whether any upstream could ever take the request. */
  hasUsable(excluded: ReadonlySet<string>): boolean {
    return this.#listUsable(excluded).length > 0;
  }

  /** Judges whether a request should wait behind so many others. */
  judgeWait(timeLeftMs: number, ahead = this.#line.size): WaitVerdict {
    return judgeWait(this.#computeWaitState(ahead), timeLeftMs, this.#ports.random);
  }

  /** Takes a hedge out of the allowance if enough of it is left. */
  takeHedge(): boolean {
    return this.allowance.getShareLeft() >= MIN_SHARE_FOR_HEDGES && this.allowance.takeRepeat();
  }

  wait(waiter: Waiter): void {
    this.#line.add(waiter);
    this.#startPolling();
  }

  removeWaiting(id: string): void {
    this.#line.remove(id);
  }

  /** Lets waiting requests in as far as there is room. */
  serveLine(): void {
    const now = this.#ports.clock.now();
    if (this.#line.size === 0) return;
    this.#line.list(now).every((waiter) => {
      if (waiter.tryPlace()) this.#line.remove(waiter.id);
      return this.#hasRoom(now);
    });
  }

  /** Closes connections that have been idle for long. */
  runTick(): void {
    this.#upstreams.forEach(({ pool }) => pool.runTick());
  }

  /** Notes what an upstream answered, for this dispatcher and its peers. */
  recordAnswer(upstreamId: string, isGood: boolean, at: number): void {
    const { trust, onAnswer } = this.#ports;
    const wasSuspect = trust.isSuspect(upstreamId, at);
    const change = trust.record({ upstreamId, isGood, at });
    onAnswer({ upstreamId, isGood, at, wasSuspect, change });
  }

  /**
   * Notes that no answer came. It may be the link from here, so that it says nothing to other
   * dispatchers, which see for themselves.
   */
  recordSilence(upstreamId: string): void {
    const { trust, clock, onTrustChange } = this.#ports;
    const change = trust.record({ upstreamId, isGood: false, at: clock.now() });
    if (change) onTrustChange(upstreamId, change);
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
    this.#line.list(now).forEach((waiter, ahead) => {
      const verdict = this.judgeWait(waiter.giveUpAt - now, ahead);
      if (verdict.kind === 'wait') return;
      this.#line.remove(waiter.id);
      waiter.onHopeless(verdict.retryAfterMs);
    });
  }

  #drop(id: string, state: UpstreamState): void {
    state.pool.close();
    this.#upstreams.delete(id);
  }

  #hasRoom(now: number): boolean {
    return this.#listUsable(new Set()).some(
      (state) => !state.isPaused(now) && this.#countInFlight(state) < state.record.slots,
    );
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
  #computeWaitState(ahead: number): WaitState {
    const { trust, clock } = this.#ports;
    const now = clock.now();
    const states = this.#listUsable(new Set());
    const trusted = states.filter(({ record }) => !trust.isSuspect(record.id, now));
    const counted = trusted.length > 0 ? trusted : states;
    const slots = counted.reduce((sum, { record }) => sum + record.slots, 0);
    const share = this.#computeOwnShare(counted);
    return { waiting: ahead, slots: slots * share, meanAttemptMs: this.#meanAttemptMs };
  }

  /** The part of the room that this dispatcher gets, judged by what it has in flight. */
  #computeOwnShare(states: readonly UpstreamState[]): number {
    const own = states.reduce((sum, { inFlight }) => sum + inFlight, 0);
    const all = states.reduce((sum, state) => sum + this.#countInFlight(state), 0);
    return all === 0 ? 1 : Math.max(own, 1) / Math.max(all, 1);
  }

  #buildCandidate(state: UpstreamState, now: number): PlacementCandidate {
    const { trust } = this.#ports;
    const { id, dataCentre, slots } = state.record;
    const risk = trust.getRisk(id, now);
    const isSuspect = trust.isSuspect(id, now);
    return {
      id,
      dataCentre,
      slots,
      inFlight: this.#countInFlight(state),
      risk,
      isSuspect,
      isTestDue: isSuspect && trust.isTestDue(id, now),
      warmUpMs: Math.max(0, state.warmUntil - now),
    };
  }
}
