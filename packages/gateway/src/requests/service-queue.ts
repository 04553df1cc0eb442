/**
 * The requests of one service that wait at this daemon for a free slot, and its retry budget. Refuses those that cannot be served, and tells their callers when to return.
 */
import {
  ArrivalRate,
  computeMaxFailureProbability,
  RequestQueue,
  SlidingWindowRetryBudget,
  WaitJudge,
} from '@baobabline/core';
import type {
  FarQueue,
  QueuedRequest,
  QueueState,
  RefusalReason,
  WaitVerdict,
} from '@baobabline/core';

import type { QueuedPlacement, ServiceOverload, ServiceQueuePorts } from './service-queue-types.js';
import type { RoutedRequest } from './types.js';

/** Test requests leave this share of the retry budget to requests that fail unexpectedly. */
const MIN_BUDGET_SHARE_FOR_TESTS = 0.5;
/** Hedges leave this share of the retry budget to requests that fail. */
const MIN_BUDGET_SHARE_FOR_HEDGES = 0.3;
const POLL_INTERVAL_MS = 10;
/** How often the queue is checked for requests that can no longer be served in time. */
const RECHECK_INTERVAL_MS = 100;
/** Assumed until the first attempt has ended. */
const INITIAL_ATTEMPT_MS = 150;
/** A computed slot count is reused for this long. */
const SLOT_COUNT_MAX_AGE_MS = 20;
/** Weight of the newest attempt in the moving average. */
const NEWEST_WEIGHT = 0.05;
/** After so many retries that found no slot, all others of their kind are skipped until the next event. */
const MAX_BLOCKED_RETRIES = 4;

/** One round of placing requests, and those that found no slot in it. */
type Round = {
  readonly retries: Map<string, boolean>;
  /** Requests with large bodies that found no upstream with room for them. */
  readonly largeBodies: Set<string>;
  readonly kinds: Set<boolean>;
};

export class ServiceQueue {
  readonly allowance: SlidingWindowRetryBudget;

  readonly #ports: ServiceQueuePorts;

  readonly #requests: RequestQueue<QueuedPlacement>;

  readonly #judge: WaitJudge;

  readonly #arrivals: ArrivalRate;

  readonly #refused = new Map<RefusalReason, number>();

  #ticketCount = 0;

  #meanAttemptMs = INITIAL_ATTEMPT_MS;

  #room = { at: Number.NEGATIVE_INFINITY, slots: 0 };

  #judgedAt = 0;

  #poll: NodeJS.Timeout | undefined;

  constructor(ports: ServiceQueuePorts) {
    const { clock } = ports;
    this.#ports = ports;
    this.allowance = new SlidingWindowRetryBudget(ports.allowance, clock);
    this.#judge = new WaitJudge(ports.random, {
      ...ports,
      getCapacityPerMs: () => ports.countAllSlots() / this.#meanAttemptMs,
    });
    this.#arrivals = new ArrivalRate(clock);
    this.#requests = new RequestQueue((request) => this.#judge.getYieldRank(request));
  }

  get size(): number {
    return this.#requests.size;
  }

  /** Sums up what was refused since the start, by reason, and the accounts over their share now. */
  describeOverload(): ServiceOverload {
    const refused = new Map(this.#refused);
    return { refused, accountsOverShare: this.#judge.listOverShare() };
  }

  /** What waits, and what arrives. */
  get load(): FarQueue {
    return { waiting: this.#requests.size, arrivalsPerMs: this.#arrivals.getPerMs() };
  }

  /** Mean time that an attempt occupies a slot, in milliseconds. */
  get meanAttemptMs(): number {
    return this.#meanAttemptMs;
  }

  /** Whether the retry budget has room for a test that fails. */
  get mayTest(): boolean {
    return this.allowance.getShareLeft() >= MIN_BUDGET_SHARE_FOR_TESTS && !this.#areRetriesScarce;
  }

  /** Counts a new request towards the retry budget, the arrival rate and its account's share. */
  recordArrival({ priority, caller }: RoutedRequest): void {
    this.allowance.recordRequest(priority);
    this.#arrivals.recordArrival();
    this.#judge.recordArrival(caller?.account);
  }

  /** Records that a request is sent to an upstream for the first time. */
  recordServed({ priority, caller }: RoutedRequest): void {
    this.#judge.recordServed(priority, caller?.account);
  }

  /** Records that a request was refused that waited, or would have had to wait. */
  recordRefused({ priority }: RoutedRequest, reason: RefusalReason): void {
    this.#refused.set(reason, (this.#refused.get(reason) ?? 0) + 1);
    this.#judge.recordRefused(priority, reason);
  }

  recordAttemptTime(elapsedMs: number): void {
    this.#meanAttemptMs += (elapsedMs - this.#meanAttemptMs) * NEWEST_WEIGHT;
  }

  /** Takes a hedge from the retry budget if enough of the budget is left. */
  takeHedge(): boolean {
    const isEnoughLeft = this.allowance.getShareLeft() >= MIN_BUDGET_SHARE_FOR_HEDGES;
    return isEnoughLeft && !this.#areRetriesScarce && this.allowance.takeRetry();
  }

  /**
   * Whether requests that are shed need more retries than return. In normal operation tests and hedges
   * keep theirs, since they find out which upstreams fail.
   */
  get #areRetriesScarce(): boolean {
    return this.#ports.hasRandomShedding() && this.allowance.isRunningDown;
  }

  /** The highest failure probability at which a request is sent now rather than queued. */
  computeMaxFailureProbability(timeLeftMs: number): number {
    return computeMaxFailureProbability(this.#computeState(this.#requests.size), timeLeftMs);
  }

  /** Decides whether a request should be queued. */
  judgeWait(request: QueuedRequest): WaitVerdict {
    const ahead = this.#requests.countAhead(request, this.#ports.clock.now());
    return this.#judge.judge(request, this.#computeState(ahead), false);
  }

  /** The state of the queue as a request joining it would find it, for the log. */
  describeState(request: QueuedRequest): QueueState {
    return this.#computeState(this.#requests.countAhead(request, this.#ports.clock.now()));
  }

  /** Queues a request; returns what names its place, since several may bear the same id. */
  wait(waiter: QueuedPlacement): string {
    this.#ticketCount += 1;
    const ticket = String(this.#ticketCount);
    this.#requests.add({ ...waiter, id: ticket });
    this.#startPolling();
    return ticket;
  }

  remove(ticket: string): void {
    this.#requests.remove(ticket);
  }

  /**
   * Places queued requests while upstreams have free slots. If a first attempt finds no slot, later
   * requests that are as repeatable as it is are skipped, since they would find none either.
   */
  serve(): void {
    if (this.#requests.size > 0) {
      this.#serveNext({ retries: new Map(), largeBodies: new Set(), kinds: new Set() });
    }
  }

  /**
   * Places the requests that wait; returns whether a new one may be placed without waiting. One of an
   * account over its share may not while others wait.
   */
  mayPlaceAtOnce(request: RoutedRequest): boolean {
    this.serve();
    return this.#requests.size === 0 || !this.isOverShare(request);
  }

  /** Whether the account of a request has got more than its share of the service. */
  isOverShare({ caller }: RoutedRequest): boolean {
    return this.#judge.isOverShare(caller?.account.name);
  }

  #serveNext(round: Round): void {
    const { retries, largeBodies, kinds } = round;
    const waiter = this.#requests.findNext(this.#ports.clock.now(), {
      wantsKind: (isRepeatable, isRetry) =>
        isRetry
          ? [...retries.values()].filter((one) => one === isRepeatable).length < MAX_BLOCKED_RETRIES
          : !kinds.has(isRepeatable),
      wantsEntry: ({ id }) => !retries.has(id) && !largeBodies.has(id),
    });
    if (!waiter) return;
    if (waiter.tryPlace()) this.#requests.remove(waiter.id);
    else if (waiter.isRetry) retries.set(waiter.id, waiter.isRepeatable);
    else if (waiter.hasLargeBody) largeBodies.add(waiter.id);
    else kinds.add(waiter.isRepeatable);
    this.#serveNext(round);
  }

  /** Polls, since no event tells when a peer frees a slot or an upstream's pause ends. */
  #startPolling(): void {
    this.#poll ??= setTimeout(() => {
      this.#poll = undefined;
      const now = this.#ports.clock.now();
      this.#requests.takeExpired(now).forEach((waiter) => waiter.onExpired());
      this.serve();
      this.#refuseHopeless(now);
      if (this.size > 0) this.#startPolling();
    }, POLL_INTERVAL_MS);
  }

  /** Refuses queued requests that can no longer be sent in time since slots have been lost. */
  #refuseHopeless(now: number): void {
    if (now - this.#judgedAt < RECHECK_INTERVAL_MS) return;
    this.#judgedAt = now;
    const state = this.#computeState(0);
    this.#requests.list(now).forEach((waiter, ahead) => {
      const verdict = this.#judge.judge(waiter, { ...state, waiting: ahead }, true);
      if (verdict.kind === 'wait') return;
      this.#requests.remove(waiter.id);
      waiter.onHopeless(verdict.reason, verdict.retryAfterMs);
    });
  }

  /** The queue state for a request that has `ahead` requests before it. */
  #computeState(ahead: number): QueueState {
    const now = this.#ports.clock.now();
    if (now - this.#room.at >= SLOT_COUNT_MAX_AGE_MS)
      this.#room = { at: now, slots: this.#ports.countSlots(now, this.#meanAttemptMs) };
    return {
      waiting: ahead,
      slots: this.#room.slots,
      meanAttemptMs: this.#meanAttemptMs,
      arrivalsPerMs: this.#arrivals.getPerMs(),
    };
  }
}
