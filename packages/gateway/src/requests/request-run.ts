/**
 * Runs one request from arrival to its end. The request is placed or queued, sent, and retried where
 * that is safe and the retry budget allows it. It ends by its deadline, with an answer or an error
 * that never says "not run" if an attempt may have run.
 */
import {
  createRefusal,
  drawRetryAfterMs,
  drawReturnAfterShedMs,
  isRepeatableKind,
  MAX_TIMER_MS,
} from '@baobabline/core';
import type {
  FarChoice,
  FarReason,
  RefusalReason,
  RequestError,
  RetryClaim,
} from '@baobabline/core';

import type { ExchangeEnd, UpstreamAnswer } from '../upstreams/index.js';
import { isNotRunStatus, judgeAnswer } from './judge-answer.js';
import { buildRequestHead } from './request-head.js';
import { buildQueueEntry } from './queue-entry.js';
import type { QueueEntry } from './queue-entry.js';
import type { Attempt, RequestRunDependencies } from './request-run-types.js';
import type { ServiceScheduler } from './service-scheduler.js';
import type { UpstreamState } from './upstream-state.js';
import type { PlacedRequest, RequestEnd, RequestStep, RoutedRequest } from './types.js';

const MS_PER_SECOND = 1000;
/** Another daemon can take what this one has not passed on as it stops. */
const STOP_RETRY_MS = 50;

export class RequestRun implements PlacedRequest {
  readonly #request: RoutedRequest;

  readonly #scheduler: ServiceScheduler;

  readonly #dependencies: RequestRunDependencies;

  readonly #onEnd: (end: RequestEnd) => void;

  readonly #tried = new Set<string>();

  /** Attempts that reached, or may have reached, an upstream. */
  #sentCount = 0;

  /** How often upstreams have shed it. */
  #shedCount = 0;

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
    this.#scheduler.queue.recordArrival(this.#request);
    this.#scheduler.far?.recordArrival();
    if (this.#timeLeft <= 0) {
      this.#fail('noCapacity');
      return;
    }
    const waitMs = Math.min(Math.max(0, this.#timeLeft), MAX_TIMER_MS);
    this.#endTimer = setTimeout(() => this.#handleTimeUp(), waitMs);
    const mayPlace = this.#scheduler.queue.mayPlaceAtOnce(this.#request);
    if (!mayPlace || !this.#tryPlace()) this.#waitOrRefuse();
  }

  get isAtUpstream(): boolean {
    return this.#attempts.length > 0;
  }

  get hasBeenSent(): boolean {
    return this.#sentCount > 0;
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

  get #usualMs(): number {
    return this.#dependencies.times.getMeanMs(this.#request.route.id);
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
    if (this.#refuseUndeliverable()) return true;
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

  /** Refuses a download whose answer could not be held or delivered; returns whether it did. */
  #refuseUndeliverable(): boolean {
    const { downloads } = this.#dependencies;
    const refusal = downloads?.checkDelivery(this.#request, this.#usualMs);
    if (!refusal) return false;
    this.#record(refusal.step);
    this.#failWith(refusal.error);
    return true;
  }

  #waitOrRefuse(): void {
    if (!this.#scheduler.hasUsable(this.#tried)) {
      this.#fail('noUpstream');
      return;
    }
    const { queue } = this.#scheduler;
    const entry = this.#buildEntry();
    const verdict = queue.judgeWait(entry);
    if (verdict.kind === 'refuse') {
      this.#refuseHopeless(entry, verdict.reason, verdict.retryAfterMs);
      return;
    }
    this.#ticket = queue.wait({
      ...entry,
      onExpired: () => this.#refuseHopeless(entry, 'expired'),
      onHopeless: (reason, retryAfterMs) => this.#refuseHopeless(entry, reason, retryAfterMs),
      tryPlace: () => this.#tryPlace(),
    });
    this.#record({ step: 'waiting', ahead: queue.size - 1 });
  }

  #refuseQuarantined(retryAfterMs: number): void {
    const { fingerprint } = this.#request;
    this.#record({ step: 'quarantined', fingerprint, retryAfterMs, sent: this.#sentCount });
    this.#fail('requestHeldBack', retryAfterMs);
  }

  #refuseHopeless(
    entry: QueueEntry,
    reason: RefusalReason,
    retryAfterMs = this.#drawRetryAfterMs(),
  ): void {
    this.#scheduler.queue.recordRefused(this.#request, reason);
    this.#record({
      step: 'hopeless',
      reason,
      retryAfterMs,
      ...this.#scheduler.queue.describeState(entry),
      withoutPermit: this.#scheduler.countWithoutPermit(),
    });
    this.#fail(reason === 'retry-budget' ? 'upstreamsShed' : 'noCapacity', retryAfterMs);
  }

  #buildEntry(): QueueEntry {
    const usualAttemptMs = this.#dependencies.times.getMeanMs(this.#request.route.id);
    return buildQueueEntry(this.#request, usualAttemptMs, this.#tried.size > 0);
  }

  #launch({ upstreamId, reason, farReason }: FarChoice, isHedge: boolean): void {
    const state = this.#scheduler.find(upstreamId);
    if (!state) return;
    this.#ticket = undefined;
    if (this.#tried.size === 0) this.#scheduler.queue.recordServed(this.#request);
    this.#tried.add(upstreamId);
    this.#sentCount += 1;
    this.#scheduler.recordStart(state, this.#request.bodyBytes);
    const reservation = this.#dependencies.downloads?.expectAnswer(this.#request);
    this.#dependencies.onLoadChange();
    const attempt: Attempt = {
      upstreamId,
      state,
      isHedge,
      endReservation: reservation?.end,
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
        expectedBytes: reservation?.bytes ?? 0,
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
    const overdueMs = this.#dependencies.times.getOverdueMs(this.#request.route.id);
    return setTimeout(() => {
      this.#scheduler.recordNoAnswer(upstreamId, true);
      this.#record({ step: 'overdue', upstream: upstreamId, afterMs: Math.round(overdueMs) });
    }, overdueMs);
  }

  #scheduleHedge(): void {
    if (!this.#isRepeatable) return;
    clearTimeout(this.#hedgeTimer);
    const delay = this.#dependencies.times.getHedgeDelayMs(this.#request.route.id);
    this.#hedgeTimer = setTimeout(() => this.#hedge(), delay);
  }

  #hedge(): void {
    if (this.#isDone || this.#attempts.length !== 1) return;
    if (this.#tried.size >= this.#request.route.maxAttempts) return;
    // A second attempt could end a second upstream before the first attempt shows that it does.
    if (this.#dependencies.crashGuard.isSuspect(this.#request.fingerprint)) return;
    if (this.#dependencies.checkCaller(this.#request)) return;
    if (this.#dependencies.downloads?.canDeliver(this.#request, this.#usualMs) === false) return;
    const choice = this.#scheduler.choose({
      isRepeatable: true,
      canTryAgain: false,
      timeLeftMs: this.#timeLeft,
      targetLeftMs: this.#targetLeft,
      routeId: this.#request.route.id,
      bodyBytes: this.#request.bodyBytes,
      excluded: this.#tried,
    });
    if (choice?.reason !== 'trusted' || !this.#scheduler.queue.takeHedge()) return;
    this.#launch(choice, true);
  }

  #handleEnd(attempt: Attempt, end: ExchangeEnd): void {
    this.#release(attempt);
    const elapsedMs = this.#now - attempt.startedAt;
    if (end.kind === 'answered') this.#handleAnswer(attempt, end.answer, end.isClosing, elapsedMs);
    else this.#handleFailure(attempt, end, elapsedMs);
    this.#scheduler.queue.serve();
  }

  #release(attempt: Attempt): void {
    clearTimeout(attempt.overdueTimer);
    this.#attempts = this.#attempts.filter((other) => other !== attempt);
    attempt.endReservation?.();
    attempt.state.recordEnd(this.#request.bodyBytes);
    this.#dependencies.onLoadChange();
  }

  #handleAnswer(
    { upstreamId, state, startedAt, farReason }: Attempt,
    answer: UpstreamAnswer,
    isClosing: boolean,
    elapsedMs: number,
  ): void {
    const { status, head } = answer;
    const verdict = judgeAnswer(status, head);
    this.#record({ step: 'answered', upstream: upstreamId, status, verdict, elapsedMs, isClosing });
    this.#dependencies.onBytes('answers', state.record.dataCentre, answer.bodyBytes);
    this.#scheduler.recordReach(upstreamId, true);
    this.#scheduler.recordRateLimit(upstreamId, head.rateLimit, startedAt);
    if (verdict === 'shed' || verdict === 'leaving') {
      this.#handleNotRun(state, verdict);
      return;
    }
    const isGood = verdict === 'good';
    if (isGood && head.isSigned) {
      this.#dependencies.crashGuard.recordSuccess(this.#request.fingerprint);
    }
    this.#scheduler.recordAnswer(upstreamId, isGood, isGood ? startedAt : this.#now);
    this.#recordFarAnswer(state, answer.bodyBytes, elapsedMs, farReason, isGood);
    if (isGood) {
      this.#dependencies.times.record(this.#request.route.id, elapsedMs);
      this.#scheduler.queue.recordAttemptTime(elapsedMs);
      this.#dependencies.downloads?.recordAnswer(this.#request, answer.bodyBytes);
      this.#succeed(answer, upstreamId);
      return;
    }
    if (verdict === 'failed') this.#failedAnswer = { answer, upstreamId };
    this.#unknownError ??= createRefusal(
      isNotRunStatus(status) ? 'notRunUnstated' : 'answerInvalid',
    );
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

  #handleNotRun(state: UpstreamState, verdict: 'shed' | 'leaving'): void {
    if (verdict === 'shed') this.#recordShed(state);
    else state.recordLeaving();
    this.#tryAgainOrFail(true);
  }

  #recordShed(state: UpstreamState): void {
    this.#shedCount += 1;
    this.#scheduler.recordShed(state);
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
    if (!isSafe || !isLeft) this.#fail();
    else if (wasUnsent || this.#scheduler.queue.allowance.takeRetry(this.#claim)) {
      if (!this.#tryPlace()) this.#waitOrRefuse();
    } else this.#refuseHopeless(this.#buildEntry(), 'retry-budget');
  }

  /** Requests leave a part of the budget to others only while many are shed and need it. */
  get #claim(): RetryClaim | undefined {
    if (!this.#scheduler.isSheddingAtRandom) return undefined;
    const isOverShare = this.#scheduler.queue.isOverShare(this.#request);
    return { priority: this.#request.priority, shedCount: this.#shedCount, isOverShare };
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
    const { random } = this.#dependencies;
    return this.#scheduler.isSheddingAtRandom
      ? drawReturnAfterShedMs(usual, callerLeft, random)
      : drawRetryAfterMs(usual, callerLeft, random);
  }

  /** Marks the request as done, clears its timers, leaves the queue and aborts its attempts. */
  #settle(): void {
    this.#isDone = true;
    clearTimeout(this.#endTimer);
    clearTimeout(this.#hedgeTimer);
    if (this.#ticket !== undefined) this.#scheduler.queue.remove(this.#ticket);
    this.#attempts.forEach((attempt) => {
      attempt.connection?.abort();
      this.#release(attempt);
    });
  }

  #record(step: RequestStep): void {
    this.#dependencies.onStep(this.#request, step);
  }
}
