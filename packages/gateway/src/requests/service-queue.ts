/**
 * The requests of one service that wait at this daemon: for a free slot, or for the retry budget.
 * Refuses those that cannot be served, and tells their callers when to return.
 */
import {
  AccountShares,
  ArrivalRate,
  computeMaxFailureProbability,
  isServable,
  RequestQueue,
  RetryWaitList,
  ReturnTimes,
  ServedShares,
  SlidingWindowRetryBudget,
} from '@baobabline/core';
import type {
  Clock,
  QueuedRequest,
  QueueState,
  RandomSource,
  RetryClaim,
  SlidingWindowRetryBudgetSettings,
  WaitingRetry,
} from '@baobabline/core';

import type { RoutedRequest } from './types.js';

/** Why a request is refused that waits, or would have to wait. */
export type RefusalReason =
  'slots' | 'account-over-share' | 'kind-served-more' | 'expired' | 'retry-budget';

/** What a queued request does when its wait ends. */
export type WaitEnds = {
  /** Called when the latest time at which it may be sent has passed. */
  readonly onExpired: () => void;
  /** Called when it could only be sent too late. */
  readonly onHopeless: (reason: RefusalReason, retryAfterMs: number) => void;
};

/** A queued request, with callbacks that place or refuse it. */
export type QueuedPlacement = QueuedRequest &
  WaitEnds & {
    /** Whether it may run more than once. */
    readonly isRepeatable: boolean;
    /** Tries to place the request; returns whether it can leave the queue. */
    readonly tryPlace: () => boolean;
  };

/** A request that waits for the retry budget. */
export type QueuedRetry = WaitingRetry & WaitEnds & { readonly onGranted: () => void };

export type WaitVerdict =
  | { readonly kind: 'wait' }
  | {
      readonly kind: 'refuse';
      readonly reason: RefusalReason;
      readonly retryAfterMs: number;
    };

export type ServiceQueuePorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly allowance: SlidingWindowRetryBudgetSettings;
  /** Counts the slots that this daemon may use, given the mean time of an attempt. */
  readonly countSlots: (now: number, meanAttemptMs: number) => number;
  /** Returns this daemon's part of an account's requests; undefined if it is unknown. */
  readonly findOwnPart: (accountName: string) => number | undefined;
};

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
/** Stands for the requests that need no key. */
const PUBLIC_ACCOUNT = { name: '' };

/** The requests that found no slot in one round. */
type Blocked = { readonly retries: Map<string, boolean>; readonly kinds: Set<boolean> };

export class ServiceQueue {
  readonly allowance: SlidingWindowRetryBudget;

  readonly #ports: ServiceQueuePorts;

  readonly #requests: RequestQueue<QueuedPlacement>;

  readonly #retries: RetryWaitList<QueuedRetry>;

  readonly #accounts: AccountShares;

  readonly #servedShares: ServedShares;

  readonly #returnTimes: ReturnTimes;

  readonly #arrivals: ArrivalRate;

  #ticketCount = 0;

  #meanAttemptMs = INITIAL_ATTEMPT_MS;

  #room = { at: Number.NEGATIVE_INFINITY, slots: 0 };

  #judgedAt = 0;

  #poll: NodeJS.Timeout | undefined;

  constructor(ports: ServiceQueuePorts) {
    const { clock } = ports;
    this.#ports = ports;
    this.allowance = new SlidingWindowRetryBudget(ports.allowance, clock);
    this.#retries = new RetryWaitList(this.allowance, clock);
    this.#accounts = new AccountShares(clock, ports.findOwnPart);
    this.#servedShares = new ServedShares(clock);
    this.#returnTimes = new ReturnTimes(ports.random);
    this.#arrivals = new ArrivalRate(clock);
    this.#requests = new RequestQueue((request) => this.#findYieldReason(request) !== undefined);
  }

  get size(): number {
    return this.#requests.size + this.#retries.size;
  }

  /** Accounts that are over their share now. */
  get accountsOverShare(): number {
    return this.#accounts.countOverShare();
  }

  /** Whether the retry budget has room for a test that fails. */
  get mayTest(): boolean {
    const { allowance } = this;
    return allowance.getShareLeft() >= MIN_BUDGET_SHARE_FOR_TESTS && !allowance.isRunningDown;
  }

  /** Counts a new request towards the retry budget, the arrival rate and its account's share. */
  recordArrival({ priority, caller }: RoutedRequest): void {
    this.allowance.recordRequest(priority);
    this.#arrivals.recordArrival();
    this.#accounts.recordArrival(caller?.account ?? PUBLIC_ACCOUNT);
  }

  /** Records that a request is sent to an upstream for the first time. */
  recordServed({ priority, caller }: RoutedRequest): void {
    this.#accounts.recordServed(caller?.account ?? PUBLIC_ACCOUNT);
    this.#servedShares.record(priority, true);
  }

  /** Records that a request was refused for want of slots; those over their share do not count. */
  recordRefused({ priority }: RoutedRequest, reason: RefusalReason): void {
    if (reason === 'slots' || reason === 'expired') this.#servedShares.record(priority, false);
  }

  recordAttemptTime(elapsedMs: number): void {
    this.#meanAttemptMs += (elapsedMs - this.#meanAttemptMs) * NEWEST_WEIGHT;
  }

  /** Takes a hedge from the retry budget if enough of the budget is left. */
  takeHedge(): boolean {
    const isEnoughLeft = this.allowance.getShareLeft() >= MIN_BUDGET_SHARE_FOR_HEDGES;
    return isEnoughLeft && !this.allowance.isRunningDown && this.takeRetry();
  }

  /** Takes a retry for a request, unless others wait for it that go first. */
  takeRetry(claim: RetryClaim = { priority: 0, shedCount: 1 }): boolean {
    return this.#retries.takeRetry(claim);
  }

  /** The highest failure probability at which a request is sent now rather than queued. */
  computeMaxFailureProbability(timeLeftMs: number): number {
    return computeMaxFailureProbability(this.#computeState(this.#requests.size), timeLeftMs);
  }

  /** Decides whether a request should be queued. */
  judgeWait(request: QueuedRequest): WaitVerdict {
    const ahead = this.#requests.countAhead(request, this.#ports.clock.now());
    return this.#judge(request, this.#computeState(ahead));
  }

  /** The state of the queue as a request joining it would find it, for the log. */
  describeState(request: QueuedRequest): QueueState {
    return this.#computeState(this.#requests.countAhead(request, this.#ports.clock.now()));
  }

  /** Queues a request; returns what names its place, since several may bear the same id. */
  wait(waiter: QueuedPlacement): string {
    const ticket = this.#createTicket();
    this.#requests.add({ ...waiter, id: ticket });
    return ticket;
  }

  /** Queues a request until the retry budget covers it; returns its ticket, or undefined if it never will. */
  waitForRetry(waiter: QueuedRetry): string | undefined {
    if (!this.#retries.shouldWait(waiter)) return undefined;
    const ticket = this.#createTicket();
    this.#retries.add({ ...waiter, id: ticket });
    return ticket;
  }

  remove(ticket: string): void {
    if (!this.#requests.remove(ticket)) this.#retries.remove(ticket);
  }

  /**
   * Places queued requests while upstreams have free slots. If a first attempt finds no slot, later
   * requests that are as repeatable as it is are skipped, since they would find none either.
   */
  serve(): void {
    if (this.#requests.size > 0) this.#serveNext({ retries: new Map(), kinds: new Set() });
  }

  #serveNext(blocked: Blocked): void {
    const { retries, kinds } = blocked;
    const waiter = this.#requests.findNext(this.#ports.clock.now(), {
      wantsLane: ({ isRepeatable }, isRetry) =>
        isRetry
          ? [...retries.values()].filter((one) => one === isRepeatable).length < MAX_BLOCKED_RETRIES
          : !kinds.has(isRepeatable),
      wantsRetry: ({ id }) => !retries.has(id),
    });
    if (!waiter) return;
    if (waiter.tryPlace()) this.#requests.remove(waiter.id);
    else if (waiter.isRetry) retries.set(waiter.id, waiter.isRepeatable);
    else kinds.add(waiter.isRepeatable);
    this.#serveNext(blocked);
  }

  #createTicket(): string {
    this.#ticketCount += 1;
    this.#startPolling();
    return String(this.#ticketCount);
  }

  /** Polls, since no event tells when a peer frees a slot or a retry leaves the budget's window. */
  #startPolling(): void {
    this.#poll ??= setTimeout(() => {
      this.#poll = undefined;
      const now = this.#ports.clock.now();
      this.#requests.takeExpired(now).forEach((waiter) => waiter.onExpired());
      this.#retries.takeGranted().forEach((waiter) => waiter.onGranted());
      this.serve();
      this.#refuseHopeless(now);
      if (this.size > 0) this.#startPolling();
    }, POLL_INTERVAL_MS);
  }

  /** Refuses queued requests that can no longer be sent in time, as slots or retries have been lost. */
  #refuseHopeless(now: number): void {
    if (now - this.#judgedAt < RECHECK_INTERVAL_MS) return;
    this.#judgedAt = now;
    const state = this.#computeState(0);
    this.#requests.list(now).forEach((waiter, ahead) => {
      const verdict = this.#judge(waiter, { ...state, waiting: ahead });
      if (verdict.kind === 'wait') return;
      this.#requests.remove(waiter.id);
      waiter.onHopeless(verdict.reason, verdict.retryAfterMs);
    });
    this.#retries
      .takeHopeless()
      .forEach((waiter) =>
        waiter.onHopeless('retry-budget', this.#assignReturn(waiter.latestSendAt, state)),
      );
  }

  #judge(request: QueuedRequest, state: QueueState): WaitVerdict {
    const { targetAt, latestSendAt, isRetry, accountName = PUBLIC_ACCOUNT.name } = request;
    const now = this.#ports.clock.now();
    const timeLeftMs = latestSendAt - now;
    // New requests never overtake a retry, even a late one.
    const targetLeftMs = isRetry ? timeLeftMs : targetAt - now;
    const yieldReason = isRetry ? undefined : this.#findYieldReason(request);
    const isWorthWaiting =
      yieldReason === undefined
        ? isServable(state, { targetLeftMs, timeLeftMs })
        : isServable(
            yieldReason === 'account-over-share'
              ? { ...state, arrivalsPerMs: this.#accounts.getArrivalsAheadPerMs(accountName) }
              : state,
            { targetLeftMs: Number.NEGATIVE_INFINITY, timeLeftMs },
          );
    if (isWorthWaiting) return { kind: 'wait' };
    const retryAfterMs = this.#assignReturn(latestSendAt, state);
    return { kind: 'refuse', reason: yieldReason ?? 'slots', retryAfterMs };
  }

  #assignReturn(latestSendAt: number, state: QueueState): number {
    const now = this.#ports.clock.now();
    return this.#returnTimes.assign(state, Math.max(0, latestSendAt - now), now);
  }

  /** Why a request comes after those that need not yield; undefined if it need not either. */
  #findYieldReason({
    accountName = PUBLIC_ACCOUNT.name,
    priority,
  }: QueuedRequest): 'account-over-share' | 'kind-served-more' | undefined {
    if (this.#accounts.isOverShare(accountName)) return 'account-over-share';
    return this.#servedShares.shouldYield(priority) ? 'kind-served-more' : undefined;
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
