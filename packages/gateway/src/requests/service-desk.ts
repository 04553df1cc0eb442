/**
 * One service at one dispatcher: the upstreams that may be used, the requests that wait for room,
 * and the allowance for repeats.
 */
import { chooseUpstream, judgeWait, WaitingLine, WindowAllowance } from '@baobabline/core';
import type {
  Clock,
  PlacementCandidate,
  PlacementChoice,
  RandomSource,
  RegisteredUpstream,
  TrustChange,
  UpstreamTrust,
  WaitingRequest,
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
  /** Called with each outcome that this dispatcher has seen itself. */
  readonly onOutcome: (
    upstreamId: string,
    isGood: boolean,
    change: TrustChange | undefined,
  ) => void;
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
    const now = this.#ports.clock.now();
    const candidates = this.#listUsable(needs.excluded)
      .filter((state) => !state.isPaused(now))
      .map((state) => this.#buildCandidate(state, now));
    return chooseUpstream(
      {
        ...needs,
        mayTest: this.allowance.getShareLeft() >= MIN_SHARE_FOR_TESTS,
        dataCentre: this.#ports.dataCentre,
      },
      candidates,
      this.#ports.random,
    );
  }

  /** Whether any upstream could ever take the request. */
  hasUsable(excluded: ReadonlySet<string>): boolean {
    return this.#listUsable(excluded).length > 0;
  }

  /** Judges whether a request should wait behind so many others. */
  judgeWait(timeLeftMs: number, ahead = this.#line.size): WaitVerdict {
    const now = this.#ports.clock.now();
    const states = this.#listUsable(new Set());
    const trusted = states.filter(({ record }) => !this.#ports.trust.isSuspect(record.id, now));
    const counted = trusted.length > 0 ? trusted : states;
    const slots = counted.reduce((sum, { record }) => sum + record.slots, 0);
    const share = this.#computeOwnShare(counted);
    return judgeWait(
      {
        waiting: ahead,
        slots: slots * share,
        meanAttemptMs: this.#meanAttemptMs,
      },
      timeLeftMs,
      this.#ports.random,
    );
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

  /** Notes that an upstream cannot be reached from here, which says nothing to other daemons. */
  recordUnreachable(upstreamId: string): void {
    const { trust, clock } = this.#ports;
    trust.record({ upstreamId, isGood: false, at: clock.now() });
  }

  /** Notes what an attempt has shown, for this dispatcher and its peers. */
  recordOutcome(upstreamId: string, isGood: boolean): void {
    const { trust, clock, onOutcome } = this.#ports;
    const change = trust.record({ upstreamId, isGood, at: clock.now() });
    onOutcome(upstreamId, isGood, change);
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

  /** The part of the room that this dispatcher gets, judged by what it has in flight. */
  #computeOwnShare(states: readonly UpstreamState[]): number {
    const own = states.reduce((sum, { inFlight }) => sum + inFlight, 0);
    const all = states.reduce((sum, state) => sum + this.#countInFlight(state), 0);
    return all === 0 ? 1 : Math.max(own, 1) / Math.max(all, 1);
  }

  #buildCandidate(state: UpstreamState, now: number): PlacementCandidate {
    const { trust } = this.#ports;
    const { id, dataCentre, slots } = state.record;
    const isSuspect = trust.isSuspect(id, now);
    return {
      id,
      dataCentre,
      slots,
      inFlight: this.#countInFlight(state),
      isSuspect,
      isTestDue: isSuspect && trust.isTestDue(id, now),
      sinceFailureMs: now - trust.getLastFailureAt(id),
      warmUpMs: Math.max(0, state.warmUntil - now),
    };
  }
}
