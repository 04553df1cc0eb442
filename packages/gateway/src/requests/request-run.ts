/**
 * One request from its admission to its end: it is placed or waits, is sent, is tried again where
 * that is safe and allowed, and ends with an answer or a truthful failure by its time.
 */
import { createRefusal, drawRetryAfterMs } from '@baobabline/core';
import type {
  Clock,
  PlacementChoice,
  RandomSource,
  RequestError,
  QueuedRequest,
} from '@baobabline/core';

import type { HttpDialect } from '../dialect/index.js';
import type { ExchangeEnd, UpstreamAnswer, UpstreamConnection } from '../upstreams/index.js';
import type { AttemptTimes } from './attempt-times.js';
import { buildRequestHead } from './request-head.js';
import type { ServiceDesk } from './service-scheduler.js';
import type { UpstreamState } from './upstream-state.js';
import type { RequestEnd, RequestStep, RoutedRequest } from './types.js';

export type RunPorts = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly dialect: HttpDialect;
  readonly times: AttemptTimes;
  /** Called when requests in flight have changed. */
  readonly onLoadChange: () => void;
  readonly onStep: (request: RoutedRequest, step: RequestStep) => void;
  /** Called with the bytes of a request or an answer, and the upstream's data centre. */
  readonly onBytes: (kind: 'requests' | 'answers', dataCentre: string, bytes: number) => void;
};

type Attempt = {
  readonly upstreamId: string;
  readonly state: UpstreamState;
  readonly startedAt: number;
  readonly isHedge: boolean;
  connection: UpstreamConnection | undefined;
  overdueTimer: NodeJS.Timeout | undefined;
};

const SERVER_ERROR_STATUS = 500;
const NOT_RUN_STATUSES: readonly number[] = [408, 421, 429, 503];
const MS_PER_SECOND = 1000;
/** An attempt that takes so many times the usual is held against its upstream. */
const OVERDUE_FACTOR = 4;
const MIN_OVERDUE_MS = 500;
/** A safe request is sent once more after so many times the usual. */
const HEDGE_FACTOR = 2.5;
const MIN_HEDGE_MS = 120;
/** Waiting ends so long before the request's end, in shares of the usual time of an attempt. */
const SHORTEST_ATTEMPT_SHARE = 0.5;
const MIN_ATTEMPT_MS = 20;
/** Statuses that upstreams give without having run the request, where they say so. */
const SHED_STATUSES: readonly number[] = [429, 503];

export class RequestRun {
  readonly #request: RoutedRequest;

  readonly #desk: ServiceDesk;

  readonly #ports: RunPorts;

  readonly #onEnd: (end: RequestEnd) => void;

  readonly #tried = new Set<string>();

  /** Attempts that reached, or may have reached, an upstream. */
  #sentCount = 0;

  #attempts: readonly Attempt[] = [];

  #isDone = false;

  #isWaiting = false;

  /** Set once an attempt ended without proof that it did not run. */
  #unknownError: RequestError | undefined;

  #failedAnswer: { readonly answer: UpstreamAnswer; readonly upstreamId: string } | undefined;

  #endTimer: NodeJS.Timeout | undefined;

  #hedgeTimer: NodeJS.Timeout | undefined;

  constructor(
    request: RoutedRequest,
    desk: ServiceDesk,
    ports: RunPorts,
    onEnd: (end: RequestEnd) => void,
  ) {
    this.#request = request;
    this.#desk = desk;
    this.#ports = ports;
    this.#onEnd = onEnd;
  }

  start(): void {
    this.#desk.recordArrival();
    this.#endTimer = setTimeout(() => this.#handleTimeUp(), Math.max(0, this.#timeLeft));
    if (!this.#tryPlace()) this.#waitOrRefuse();
  }

  /** Gives up because the caller went away; its work at upstreams is stopped. */
  cancel(): void {
    if (this.#isDone) return;
    this.#settle();
    this.#record({ step: 'caller-gone', sent: this.#sentCount });
  }

  get #isRepeatable(): boolean {
    return this.#request.route.kind === 'safe';
  }

  get #now(): number {
    return this.#ports.clock.now();
  }

  get #timeLeft(): number {
    return this.#request.endAt - this.#now;
  }

  get #canTryAgain(): boolean {
    return this.#tried.size + 1 < this.#request.route.maxAttempts;
  }

  #tryPlace(): boolean {
    if (this.#isDone) return true;
    const choice = this.#desk.choose({
      isRepeatable: this.#isRepeatable,
      canTryAgain: this.#canTryAgain,
      timeLeftMs: this.#timeLeft,
      bodyBytes: this.#request.bodyBytes,
      excluded: this.#tried,
    });
    if (!choice) return false;
    this.#launch(choice, false);
    return true;
  }

  #waitOrRefuse(): void {
    if (!this.#desk.hasUsable(this.#tried)) {
      this.#refuse('noUpstream');
      return;
    }
    const waiting = this.#buildWaiting();
    const verdict = this.#desk.judgeWait(waiting);
    if (verdict.kind === 'refuse') {
      this.#refuseHopeless(waiting, verdict.retryAfterMs);
      return;
    }
    this.#isWaiting = true;
    this.#desk.wait({
      ...waiting,
      isRepeatable: this.#isRepeatable,
      tryPlace: () => this.#tryPlace(),
      onExpired: () => this.#refuse('noCapacity'),
      onHopeless: (retryAfterMs) => this.#refuseHopeless(waiting, retryAfterMs),
    });
    this.#record({ step: 'waiting', ahead: this.#desk.waitingCount - 1 });
  }

  #refuseHopeless(waiting: QueuedRequest, retryAfterMs: number): void {
    this.#record({ step: 'hopeless', retryAfterMs, ...this.#desk.describeWait(waiting) });
    this.#refuse('noCapacity', retryAfterMs);
  }

  #buildWaiting(): QueuedRequest {
    const { id, arrivedAt, endAt, route } = this.#request;
    const usualAttemptMs = this.#ports.times.getMeanMs(route.id);
    return {
      id,
      arrivedAt,
      expectedAttemptMs: usualAttemptMs,
      isRetry: this.#tried.size > 0,
      priority: route.priority,
      targetAt: arrivedAt + route.targetLatencyMs,
      latestSendAt: endAt - Math.max(MIN_ATTEMPT_MS, usualAttemptMs * SHORTEST_ATTEMPT_SHARE),
    };
  }

  #launch({ upstreamId, reason }: PlacementChoice, isHedge: boolean): void {
    const state = this.#desk.find(upstreamId);
    if (!state) return;
    this.#isWaiting = false;
    this.#tried.add(upstreamId);
    this.#sentCount += 1;
    state.recordStart();
    this.#ports.onLoadChange();
    const attempt: Attempt = {
      upstreamId,
      state,
      isHedge,
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
    });
    const head = this.#buildHead(upstreamId);
    const { dataCentre } = state.record;
    this.#ports.onBytes('requests', dataCentre, head.length + this.#request.bodyBytes);
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
    const own = this.#ports.dialect.buildUpstreamHeaders({
      requestId: this.#request.id,
      timeLeftMs,
      upstreamId,
    });
    return buildRequestHead(this.#request, own);
  }

  #startOverdueTimer(upstreamId: string): NodeJS.Timeout {
    const usual = this.#ports.times.getMeanMs(this.#request.route.id);
    const overdueMs = Math.max(MIN_OVERDUE_MS, usual * OVERDUE_FACTOR);
    return setTimeout(() => {
      this.#desk.recordNoAnswer(upstreamId, true);
      this.#record({ step: 'overdue', upstream: upstreamId, afterMs: Math.round(overdueMs) });
    }, overdueMs);
  }

  #scheduleHedge(): void {
    if (!this.#isRepeatable) return;
    clearTimeout(this.#hedgeTimer);
    const usual = this.#ports.times.getMeanMs(this.#request.route.id);
    const delay = Math.max(MIN_HEDGE_MS, usual * HEDGE_FACTOR);
    this.#hedgeTimer = setTimeout(() => this.#hedge(), delay);
  }

  #hedge(): void {
    if (this.#isDone || this.#attempts.length !== 1) return;
    if (this.#tried.size >= this.#request.route.maxAttempts) return;
    const choice = this.#desk.choose({
      isRepeatable: true,
      canTryAgain: false,
      timeLeftMs: this.#timeLeft,
      bodyBytes: this.#request.bodyBytes,
      excluded: this.#tried,
    });
    if (choice?.reason !== 'trusted' || !this.#desk.takeHedge()) return;
    this.#launch(choice, true);
  }

  #handleEnd(attempt: Attempt, end: ExchangeEnd): void {
    this.#release(attempt);
    const elapsedMs = this.#now - attempt.startedAt;
    if (end.kind === 'answered') this.#handleAnswer(attempt, end.answer, end.isLeaving, elapsedMs);
    else this.#handleFailure(attempt, end, elapsedMs);
    this.#desk.serveLine();
  }

  #release(attempt: Attempt): void {
    clearTimeout(attempt.overdueTimer);
    this.#attempts = this.#attempts.filter((other) => other !== attempt);
    attempt.state.recordEnd();
    this.#ports.onLoadChange();
  }

  #handleAnswer(
    { upstreamId, state, startedAt }: Attempt,
    answer: UpstreamAnswer,
    isLeaving: boolean,
    elapsedMs: number,
  ): void {
    const { status, head } = answer;
    this.#record({ step: 'answered', upstream: upstreamId, status, elapsedMs, isLeaving });
    this.#ports.onBytes('answers', state.record.dataCentre, answer.bodyBytes);
    this.#desk.recordReach(upstreamId, true);
    if (head.isNotRun) {
      this.#handleNotRun(state, status);
      return;
    }
    const isGood = status < SERVER_ERROR_STATUS && (head.isSigned || status >= 300);
    this.#desk.recordAnswer(upstreamId, isGood, isGood ? startedAt : this.#now);
    if (isGood) {
      this.#ports.times.record(this.#request.route.id, elapsedMs);
      this.#desk.recordAttemptTime(elapsedMs);
      this.#succeed(answer, upstreamId);
      return;
    }
    if (head.isSigned && !NOT_RUN_STATUSES.includes(status)) {
      this.#failedAnswer = { answer, upstreamId };
    }
    this.#unknownError ??= createRefusal('answerInvalid');
    this.#tryAgainOrFail(this.#isRepeatable);
  }

  #handleNotRun(state: UpstreamState, status: number): void {
    if (SHED_STATUSES.includes(status)) state.recordShed(this.#now);
    else state.recordLeaving();
    this.#tryAgainOrFail(true);
  }

  #handleFailure(
    { upstreamId }: Attempt,
    end: Exclude<ExchangeEnd, { kind: 'answered' }>,
    elapsedMs: number,
  ): void {
    this.#record({ step: end.kind, upstream: upstreamId, reason: end.reason, elapsedMs });
    if (end.kind === 'unsent') {
      this.#desk.recordReach(upstreamId, false);
      this.#sentCount -= 1;
      this.#tryAgainOrFail(true, true);
      return;
    }
    if (end.kind === 'lost') this.#desk.recordNoAnswer(upstreamId, false);
    else this.#desk.recordAnswer(upstreamId, false, this.#now);
    this.#unknownError ??= createRefusal(end.kind === 'lost' ? 'upstreamLost' : 'answerInvalid');
    this.#tryAgainOrFail(this.#isRepeatable);
  }

  /** A repeat of what never reached an upstream costs nothing of the allowance. */
  #tryAgainOrFail(isSafe: boolean, wasUnsent = false): void {
    if (this.#isDone || this.#attempts.length > 0) return;
    const isLeft = this.#sentCount < this.#request.route.maxAttempts && this.#timeLeft > 0;
    const mayRepeat = isSafe && isLeft && (wasUnsent || this.#desk.allowance.takeRetry());
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

  #refuse(name: 'noUpstream' | 'noCapacity', retryAfterMs?: number): void {
    this.#fail(name, retryAfterMs);
  }

  /** Ends without a good answer. Once an attempt may have run, nothing claims the contrary. */
  #fail(
    name: 'noUpstream' | 'noCapacity' | 'upstreamsShed' = 'upstreamsShed',
    retryAfterMs: number = this.#drawRetryAfterMs(),
  ): void {
    if (this.#isDone) return;
    this.#settle();
    if (this.#failedAnswer) {
      this.#onEnd({ kind: 'answered', ...this.#failedAnswer });
      return;
    }
    const retryAfterSeconds = retryAfterMs / MS_PER_SECOND;
    const error = this.#unknownError ?? createRefusal(name, { retryAfterSeconds });
    this.#onEnd({ kind: 'refused', error });
  }

  #drawRetryAfterMs(): number {
    const callerLeft = Math.max(0, this.#request.callerEndAt - this.#now);
    const usual = this.#ports.times.getMeanMs(this.#request.route.id);
    return drawRetryAfterMs(usual, callerLeft, this.#ports.random);
  }

  /** Stops all that is under way. */
  #settle(): void {
    this.#isDone = true;
    clearTimeout(this.#endTimer);
    clearTimeout(this.#hedgeTimer);
    if (this.#isWaiting) this.#desk.removeWaiting(this.#request.id);
    this.#attempts.forEach((attempt) => {
      attempt.connection?.abort();
      this.#release(attempt);
    });
  }

  #record(step: RequestStep): void {
    this.#ports.onStep(this.#request, step);
  }
}
