/**
 * Runs one request from arrival to its end. The request is placed or queued, sent, and retried where
 * that is safe and the retry budget allows it. It ends by its deadline, with an answer or an error
 * that never says "not run" if an attempt may have run.
 */
import { createRefusal, drawRetryAfterMs, isRepeatableKind, MAX_TIMER_MS } from '@baobabline/core';
import type {
  Clock,
  FarChoice,
  FarReason,
  RandomSource,
  RequestError,
  QueuedRequest,
} from '@baobabline/core';

import type { HttpDialect } from '../dialect/index.js';
import type { ExchangeEnd, UpstreamAnswer, UpstreamConnection } from '../upstreams/index.js';
import type { AttemptTimes } from './attempt-times.js';
import { buildRequestHead } from './request-head.js';
import type { CrashGuard } from './crash-guard.js';
import type { ServiceScheduler } from './service-scheduler.js';
import type { UpstreamState } from './upstream-state.js';
import type { RequestEnd, RequestStep, RoutedRequest, ServedRequest } from './types.js';

export type RequestRunDependencies = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly dialect: HttpDialect;
  readonly times: AttemptTimes;
  /** Called when the number of requests in flight has changed. */
  readonly onLoadChange: () => void;
  readonly onStep: (request: RoutedRequest, step: RequestStep) => void;
  readonly crashGuard: CrashGuard;
  /** Returns why a request may no longer be sent; its key may have been removed while it waited. */
  readonly checkCaller: (request: RoutedRequest) => RequestError | undefined;
  /** Called with the size of a request or an answer in bytes, and the upstream's data centre. */
  readonly onBytes: (kind: 'requests' | 'answers', dataCentre: string, bytes: number) => void;
};

type Attempt = {
  readonly upstreamId: string;
  readonly state: UpstreamState;
  readonly startedAt: number;
  readonly isHedge: boolean;
  /** Why it left its data centre, where that is decided for each request. */
  readonly farReason: FarReason | undefined;
  connection: UpstreamConnection | undefined;
  overdueTimer: NodeJS.Timeout | undefined;
};

const SERVER_ERROR_STATUS = 500;
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
const MS_PER_SECOND = 1000;
/** An attempt that takes this many times the mean counts as a failure of its upstream. */
const OVERDUE_FACTOR = 4;
const MIN_OVERDUE_MS = 500;
/** A repeatable request is hedged after this many times the mean attempt time. */
const HEDGE_FACTOR = 2.5;
const MIN_HEDGE_MS = 120;
/** A queued request must be sent this share of a mean attempt time before its deadline. */
const SHORTEST_ATTEMPT_SHARE = 0.5;
const MIN_ATTEMPT_MS = 20;
/** Another daemon can take what this one has not passed on as it stops. */
const STOP_RETRY_MS = 50;
/** Statuses of an upstream that shed the request, if the answer also states that it did not run. */
const SHED_STATUSES: readonly number[] = [429, 503];

export class RequestRun implements ServedRequest {
  readonly #request: RoutedRequest;

  readonly #scheduler: ServiceScheduler;

  readonly #dependencies: RequestRunDependencies;

  readonly #onEnd: (end: RequestEnd) => void;

  readonly #tried = new Set<string>();

  /** Attempts that reached, or may have reached, an upstream. */
  #sentCount = 0;

  #attempts: readonly Attempt[] = [];

  #isDone = false;

  /** Names its place in the queue, while it has one. */
  #ticket: string | undefined;

  /** Set once an attempt ended without proof that it did not run. */
  #unknownError: RequestError | undefined;

  #failedAnswer: { readonly answer: UpstreamAnswer; readonly upstreamId: string } | undefined;

  #endTimer: NodeJS.Timeout | undefined;

  #hedgeTimer: NodeJS.Timeout | undefined;

  constructor(
    request: RoutedRequest,
    desk: ServiceScheduler,
    ports: RequestRunDependencies,
    onEnd: (end: RequestEnd) => void,
  ) {
    this.#request = request;
    this.#scheduler = desk;
    this.#dependencies = ports;
    this.#onEnd = onEnd;
  }

  start(): void {
    this.#scheduler.recordArrival();
    if (this.#timeLeft <= 0) {
      this.#refuse('noCapacity');
      return;
    }
    const waitMs = Math.min(Math.max(0, this.#timeLeft), MAX_TIMER_MS);
    this.#endTimer = setTimeout(() => this.#handleTimeUp(), waitMs);
    if (!this.#tryPlace()) this.#waitOrRefuse();
  }

  get isAtUpstream(): boolean {
    return this.#attempts.length > 0;
  }

  /** Cancels the request because the caller disconnected, and aborts its attempts. */
  cancel(): void {
    if (this.#isDone) return;
    this.#settle();
    this.#record({ step: 'caller-gone', sent: this.#sentCount });
  }

  /** Ends the request because the daemon stops: as not run only if no attempt may have run. */
  failAsStopping(): void {
    if (this.#isDone) return;
    this.#record({ step: 'stop-reached', sent: this.#sentCount });
    if (this.#attempts.length > 0) {
      this.#unknownError = createRefusal('daemonStopped');
      this.#failedAnswer = undefined;
    }
    this.#fail('stopping', STOP_RETRY_MS);
  }

  get #isRepeatable(): boolean {
    return isRepeatableKind(this.#request.route.kind);
  }

  get #now(): number {
    return this.#dependencies.clock.now();
  }

  get #timeLeft(): number {
    return this.#request.endAt - this.#now;
  }

  get #targetLeft(): number {
    const { arrivedAt, route } = this.#request;
    return arrivedAt + route.targetLatencyMs - this.#now;
  }

  get #canTryAgain(): boolean {
    return this.#tried.size + 1 < this.#request.route.maxAttempts;
  }

  /** Places the request or refuses it for good; returns whether it needs no place in the queue. */
  #tryPlace(): boolean {
    if (this.#isDone) return true;
    const { crashGuard, checkCaller } = this.#dependencies;
    const invalidCaller = checkCaller(this.#request);
    if (invalidCaller) {
      this.#failWith(invalidCaller);
      return true;
    }
    const verdict = crashGuard.judge(this.#request.fingerprint);
    if (verdict.kind === 'refused') {
      this.#refuseQuarantined(verdict.retryAfterMs);
      return true;
    }
    const choice = this.#scheduler.choose({
      isRepeatable: this.#isRepeatable,
      canTryAgain: this.#canTryAgain,
      timeLeftMs: this.#timeLeft,
      targetLeftMs: this.#targetLeft,
      routeId: this.#request.route.id,
      bodyBytes: this.#request.bodyBytes,
      excluded: this.#tried,
    });
    if (!choice) return false;
    if (verdict.kind === 'trial') crashGuard.recordTrial(this.#request.fingerprint);
    this.#launch(choice, false);
    return true;
  }

  #waitOrRefuse(): void {
    if (!this.#scheduler.hasUsable(this.#tried)) {
      this.#refuse('noUpstream');
      return;
    }
    const waiting = this.#buildWaiting();
    const verdict = this.#scheduler.judgeWait(waiting);
    if (verdict.kind === 'refuse') {
      this.#refuseHopeless(waiting, verdict.retryAfterMs);
      return;
    }
    this.#ticket = this.#scheduler.wait({
      ...waiting,
      isRepeatable: this.#isRepeatable,
      tryPlace: () => this.#tryPlace(),
      onExpired: () => this.#refuse('noCapacity'),
      onHopeless: (retryAfterMs) => this.#refuseHopeless(waiting, retryAfterMs),
    });
    this.#record({ step: 'waiting', ahead: this.#scheduler.waitingCount - 1 });
  }

  #refuseQuarantined(retryAfterMs: number): void {
    const { fingerprint } = this.#request;
    this.#record({ step: 'quarantined', fingerprint, retryAfterMs, sent: this.#sentCount });
    this.#refuse('requestHeldBack', retryAfterMs);
  }

  #refuseHopeless(waiting: QueuedRequest, retryAfterMs: number): void {
    this.#record({
      step: 'hopeless',
      retryAfterMs,
      ...this.#scheduler.describeQueueState(waiting),
    });
    this.#refuse('noCapacity', retryAfterMs);
  }

  #buildWaiting(): QueuedRequest {
    const { id, arrivedAt, endAt, priority, route } = this.#request;
    const usualAttemptMs = this.#dependencies.times.getMeanMs(route.id);
    return {
      id,
      arrivedAt,
      expectedAttemptMs: usualAttemptMs,
      isRetry: this.#tried.size > 0,
      priority,
      targetAt: arrivedAt + route.targetLatencyMs,
      latestSendAt: endAt - Math.max(MIN_ATTEMPT_MS, usualAttemptMs * SHORTEST_ATTEMPT_SHARE),
    };
  }

  #launch({ upstreamId, reason, farReason }: FarChoice, isHedge: boolean): void {
    const state = this.#scheduler.find(upstreamId);
    if (!state) return;
    this.#ticket = undefined;
    this.#tried.add(upstreamId);
    this.#sentCount += 1;
    this.#scheduler.recordStart(state);
    this.#dependencies.onLoadChange();
    const attempt: Attempt = {
      upstreamId,
      state,
      isHedge,
      farReason,
      startedAt: this.#now,
      connection: undefined,
      overdueTimer: this.#startOverdueTimer(upstreamId),
    };
    this.#attempts = [...this.#attempts, attempt];
    this.#record({
      step: 'sent',
      upstream: upstreamId,
      dataCentre: state.record.dataCentre,
      reason,
      attempt: this.#sentCount,
      ...(farReason && { farReason }),
      ...this.#scheduler.describeRateLimit(state),
    });
    const head = this.#buildHead(upstreamId);
    const { dataCentre } = state.record;
    const bytes = head.length + this.#request.bodyBytes;
    this.#dependencies.onBytes('requests', dataCentre, bytes);
    this.#scheduler.far?.recordSent(dataCentre, farReason, bytes);
    attempt.connection = state.pool.send(
      {
        requestId: this.#request.id,
        method: this.#request.method,
        head,
        body: this.#request.body,
      },
      this.#isRepeatable,
      (end) => this.#handleEnd(attempt, end),
    );
    if (!isHedge) this.#scheduleHedge();
  }

  #buildHead(upstreamId: string): string {
    const timeLeftMs = Math.max(1, Math.floor(this.#timeLeft));
    const own = this.#dependencies.dialect.buildUpstreamHeaders({
      requestId: this.#request.id,
      timeLeftMs,
      upstreamId,
      accountName: this.#request.caller?.account.name,
    });
    return buildRequestHead(this.#request, own);
  }

  #startOverdueTimer(upstreamId: string): NodeJS.Timeout {
    const usual = this.#dependencies.times.getMeanMs(this.#request.route.id);
    const overdueMs = Math.max(MIN_OVERDUE_MS, usual * OVERDUE_FACTOR);
    return setTimeout(() => {
      this.#scheduler.recordNoAnswer(upstreamId, true);
      this.#record({ step: 'overdue', upstream: upstreamId, afterMs: Math.round(overdueMs) });
    }, overdueMs);
  }

  #scheduleHedge(): void {
    if (!this.#isRepeatable) return;
    clearTimeout(this.#hedgeTimer);
    const usual = this.#dependencies.times.getMeanMs(this.#request.route.id);
    const delay = Math.max(MIN_HEDGE_MS, usual * HEDGE_FACTOR);
    this.#hedgeTimer = setTimeout(() => this.#hedge(), delay);
  }

  #hedge(): void {
    if (this.#isDone || this.#attempts.length !== 1) return;
    if (this.#tried.size >= this.#request.route.maxAttempts) return;
    // A second attempt could end a second upstream before the first attempt shows that it does.
    if (this.#dependencies.crashGuard.isSuspect(this.#request.fingerprint)) return;
    if (this.#dependencies.checkCaller(this.#request)) return;
    const choice = this.#scheduler.choose({
      isRepeatable: true,
      canTryAgain: false,
      timeLeftMs: this.#timeLeft,
      targetLeftMs: this.#targetLeft,
      routeId: this.#request.route.id,
      bodyBytes: this.#request.bodyBytes,
      excluded: this.#tried,
    });
    if (choice?.reason !== 'trusted' || !this.#scheduler.takeHedge()) return;
    this.#launch(choice, true);
  }

  #handleEnd(attempt: Attempt, end: ExchangeEnd): void {
    this.#release(attempt);
    const elapsedMs = this.#now - attempt.startedAt;
    if (end.kind === 'answered') this.#handleAnswer(attempt, end.answer, end.isClosing, elapsedMs);
    else this.#handleFailure(attempt, end, elapsedMs);
    this.#scheduler.serveQueue();
  }

  #release(attempt: Attempt): void {
    clearTimeout(attempt.overdueTimer);
    this.#attempts = this.#attempts.filter((other) => other !== attempt);
    attempt.state.recordEnd();
    this.#dependencies.onLoadChange();
  }

  #handleAnswer(
    { upstreamId, state, startedAt, farReason }: Attempt,
    answer: UpstreamAnswer,
    isClosing: boolean,
    elapsedMs: number,
  ): void {
    const { status, head } = answer;
    this.#record({ step: 'answered', upstream: upstreamId, status, elapsedMs, isClosing });
    this.#dependencies.onBytes('answers', state.record.dataCentre, answer.bodyBytes);
    this.#scheduler.recordReach(upstreamId, true);
    this.#scheduler.recordRateLimit(upstreamId, head.rateLimit, startedAt);
    if (head.isNotRun) {
      this.#handleNotRun(state, status);
      return;
    }
    const isGood = status < SERVER_ERROR_STATUS && (head.isSigned || status >= 300);
    if (isGood && head.isSigned) {
      this.#dependencies.crashGuard.recordSuccess(this.#request.fingerprint);
    }
    this.#scheduler.recordAnswer(upstreamId, isGood, isGood ? startedAt : this.#now);
    this.#recordFarAnswer(state, answer.bodyBytes, elapsedMs, farReason, isGood);
    if (isGood) {
      this.#dependencies.times.record(this.#request.route.id, elapsedMs);
      this.#scheduler.recordAttemptTime(elapsedMs);
      this.#succeed(answer, upstreamId);
      return;
    }
    if (head.isSigned && !NOT_RUN_STATUSES.includes(status)) {
      this.#failedAnswer = { answer, upstreamId };
    }
    this.#unknownError ??= createRefusal('answerInvalid');
    this.#tryAgainOrFail(this.#isRepeatable);
  }

  #recordFarAnswer(
    { record: { dataCentre } }: UpstreamState,
    bytes: number,
    elapsedMs: number,
    farReason: FarReason | undefined,
    isGood: boolean,
  ): void {
    const answer = { routeId: this.#request.route.id, dataCentre, elapsedMs, bytes };
    this.#scheduler.far?.recordAnswer(answer, farReason, isGood);
  }

  #handleNotRun(state: UpstreamState, status: number): void {
    if (SHED_STATUSES.includes(status)) state.recordShed(this.#now);
    else state.recordLeaving();
    this.#tryAgainOrFail(true);
  }

  #handleFailure(
    { upstreamId, state }: Attempt,
    end: Exclude<ExchangeEnd, { kind: 'answered' }>,
    elapsedMs: number,
  ): void {
    this.#record({ step: end.kind, upstream: upstreamId, reason: end.reason, elapsedMs });
    if (end.kind === 'unsent' || end.kind === 'withdrawn') {
      if (end.kind === 'unsent') this.#scheduler.recordReach(upstreamId, false);
      this.#sentCount -= 1;
      this.#tryAgainOrFail(true, true);
      return;
    }
    if (end.kind === 'lost') this.#scheduler.recordNoAnswer(upstreamId, false);
    else this.#scheduler.recordAnswer(upstreamId, false, this.#now);
    this.#unknownError ??= createRefusal(end.kind === 'lost' ? 'upstreamLost' : 'answerInvalid');
    if (end.kind === 'lost' || end.isDisconnect) this.#investigateLoss(state);
    else this.#tryAgainOrFail(this.#isRepeatable);
  }

  /**
   * Retries after a lost connection, but not before it is clear whether the upstream has ended if
   * another one ended with the same request lately.
   */
  #investigateLoss(state: UpstreamState): void {
    const { crashGuard } = this.#dependencies;
    const { fingerprint } = this.#request;
    const othersInFlight = this.#scheduler.countInFlightElsewhere(state);
    const shouldWait = crashGuard.isSuspect(fingerprint);
    crashGuard.recordLoss({ state, fingerprint, othersInFlight }, () => {
      if (shouldWait) this.#tryAgainOrFail(this.#isRepeatable);
    });
    if (!shouldWait) this.#tryAgainOrFail(this.#isRepeatable);
  }

  /** Retries if possible. A retry after an attempt that was never sent costs no retry budget. */
  #tryAgainOrFail(isSafe: boolean, wasUnsent = false): void {
    if (this.#isDone || this.#attempts.length > 0) return;
    const isLeft = this.#sentCount < this.#request.route.maxAttempts && this.#timeLeft > 0;
    const mayRepeat = isSafe && isLeft && (wasUnsent || this.#scheduler.allowance.takeRetry());
    if (!mayRepeat) {
      this.#fail();
      return;
    }
    if (!this.#tryPlace()) this.#waitOrRefuse();
  }

  #handleTimeUp(): void {
    if (this.#isDone) return;
    if (this.#sentCount > 0 && this.#attempts.length > 0) {
      this.#unknownError = createRefusal('deadlineReached');
      this.#failedAnswer = undefined;
    }
    this.#fail();
  }

  #succeed(answer: UpstreamAnswer, upstreamId: string): void {
    if (this.#isDone) return;
    this.#settle();
    this.#onEnd({ kind: 'answered', answer, upstreamId });
  }

  #refuse(name: 'noUpstream' | 'noCapacity' | 'requestHeldBack', retryAfterMs?: number): void {
    this.#fail(name, retryAfterMs);
  }

  /** Ends without a good answer. If an attempt may have run, the error never says it did not. */
  #fail(
    name:
      | 'noUpstream'
      | 'noCapacity'
      | 'requestHeldBack'
      | 'upstreamsShed'
      | 'stopping' = 'upstreamsShed',
    retryAfterMs: number = this.#drawRetryAfterMs(),
  ): void {
    this.#failWith(createRefusal(name, { retryAfterSeconds: retryAfterMs / MS_PER_SECOND }));
  }

  /** Ends the request with an error that says it did not run, unless an attempt may have run. */
  #failWith(notRunError: RequestError): void {
    if (this.#isDone) return;
    this.#settle();
    if (this.#failedAnswer) {
      this.#onEnd({ kind: 'answered', ...this.#failedAnswer });
      return;
    }
    this.#onEnd({ kind: 'refused', error: this.#unknownError ?? notRunError });
  }

  #drawRetryAfterMs(): number {
    const callerLeft = Math.max(0, this.#request.callerEndAt - this.#now);
    const usual = this.#dependencies.times.getMeanMs(this.#request.route.id);
    return drawRetryAfterMs(usual, callerLeft, this.#dependencies.random);
  }

  /** Marks the request as done, clears its timers, leaves the queue and aborts its attempts. */
  #settle(): void {
    this.#isDone = true;
    clearTimeout(this.#endTimer);
    clearTimeout(this.#hedgeTimer);
    if (this.#ticket !== undefined) this.#scheduler.removeWaiting(this.#ticket);
    this.#attempts.forEach((attempt) => {
      attempt.connection?.abort();
      this.#release(attempt);
    });
  }

  #record(step: RequestStep): void {
    this.#dependencies.onStep(this.#request, step);
  }
}
