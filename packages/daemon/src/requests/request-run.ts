/**
 * Runs one request on the slots of this daemon, from queueing for a slot to the answer. It makes
 * attempts, sends one hedge if a repeatable request stalls, and retries where that is safe and the
 * retry budget allows it.
 */
import { canTryAgain, createRefusal } from '@baobabline/core';
import type {
  Clock,
  RequestError,
  ResultName,
  Slot,
  SlotGrant,
  SlotRequest,
} from '@baobabline/core';

import type { DecisionLog } from '../decisions/index.js';
import type { ServiceState, UpstreamLink } from '../services/index.js';
import { Attempt } from './attempt.js';
import type { CrashInvestigator } from './crash-investigator.js';
import type { Answer, AttemptResult, Job } from './types.js';

export type RequestRunDependencies = {
  readonly clock: Clock;
  readonly decisions: DecisionLog;
  readonly crashInvestigator: CrashInvestigator;
  readonly maxHeldBytes: number;
  readonly recordDraining: (upstreamId: string) => void;
  /** Whether another dispatcher of the service probably has a free slot. */
  readonly hasFreeSlotElsewhere: (service: string) => boolean;
};

type RunningAttempt = {
  readonly id: string;
  readonly slot: Slot;
  readonly link: UpstreamLink;
  readonly attempt: Attempt;
  readonly startedAt: number;
};

const MAX_ATTEMPTS = 4;
const HEDGE_SURVIVAL = 0.02;
const HEDGE_TIME_SHARE = 0.25;
/** Idle time after which a network device on the way may have dropped the connection. */
const STALE_IDLE_MS = 5000;
const STALE_IDLE_REPEATABLE_MS = 30_000;
const MOVE_AFTER_MS = 20;
const SERVER_ERROR_STATUS = 500;
const MS_PER_SECOND = 1000;

function isServerError(answer: Answer): boolean {
  return answer.status >= SERVER_ERROR_STATUS;
}

export class RequestRun {
  /** Resolves with the answer or rejects with a RequestError. */
  readonly outcome: Promise<Answer>;

  readonly #job: Job;

  readonly #service: ServiceState;

  readonly #dependencies: RequestRunDependencies;

  #running: readonly RunningAttempt[] = [];

  #triedUpstreams: readonly string[] = [];

  #attempts = 0;

  #waitingSince: number | undefined;

  #hedged = false;

  #settled = false;

  /** Set when an attempt ends without proof that the request did not run. */
  #unknownError: RequestError | undefined;

  #serverErrorAnswer: Answer | undefined;

  #resolve: (answer: Answer) => void = () => undefined;

  #reject: (error: RequestError) => void = () => undefined;

  constructor(job: Job, service: ServiceState, dependencies: RequestRunDependencies) {
    this.#job = job;
    this.#service = service;
    this.#dependencies = dependencies;
    this.outcome = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
  }

  start(): void {
    this.#job.cancelled.addEventListener('abort', () => this.cancel(), { once: true });
    this.#takeSlot();
  }

  /** Cancels the request because the caller has disconnected. */
  cancel(): void {
    if (this.#settled) return;
    this.#service.pool.removeWaiting(this.#job.head.requestId);
    const hasRun = this.#attempts > 0;
    this.#running.forEach(({ attempt }) => attempt.abort('caller-gone'));
    this.#fail(createRefusal(hasRun ? 'callerGone' : 'deadlinePassed'));
  }

  /** Aborts attempts at the deadline, and hedges a stalled attempt. */
  runTick(now: number): void {
    if (this.#settled) return;
    if (now >= this.#job.deadline) {
      this.#running.forEach(({ attempt }) => attempt.abort('deadline-reached'));
      return;
    }
    this.#moveIfStuck(now);
    this.#hedgeIfStalled(now);
  }

  /** Stops queueing for a first slot here if another dispatcher probably has a free slot. */
  #moveIfStuck(now: number): void {
    if (this.#waitingSince === undefined || this.#attempts > 0 || !this.#job.mayMove) return;
    if (now - this.#waitingSince < MOVE_AFTER_MS) return;
    if (!this.#dependencies.hasFreeSlotElsewhere(this.#service.name)) return;
    if (!this.#service.pool.removeWaiting(this.#job.head.requestId)) return;
    this.#fail(createRefusal('noCapacity', { retryAfterSeconds: 1 }));
  }

  get #timeLeft(): number {
    return this.#job.deadline - this.#dependencies.clock.now();
  }

  #buildSlotRequest(): SlotRequest {
    const { head, share, weight, deadline, repeatable } = this.#job;
    return {
      requestId: head.requestId,
      customer: head.customer,
      share,
      weight,
      deadline,
      repeatable,
      excludedUpstreams: this.#triedUpstreams,
    };
  }

  #takeSlot(): void {
    const { pool } = this.#service;
    const slotRequest = this.#buildSlotRequest();
    const grant = pool.acquire(slotRequest);
    if (grant) {
      this.#launch(grant);
      return;
    }
    const refusal = this.#refuseEarly();
    if (refusal) {
      this.#fail(refusal);
      return;
    }
    this.#waitingSince = this.#dependencies.clock.now();
    this.#record('waiting');
    pool.wait(slotRequest, {
      onGrant: (granted) => this.#launch(granted),
      onExpired: () => this.#fail(createRefusal('noCapacity', { retryAfterSeconds: 1 })),
      onDropped: () => this.#fail(createRefusal('paused')),
    });
  }

  #refuseEarly(): RequestError | undefined {
    const { pool } = this.#service;
    if (!pool.hasUsableSlots()) return createRefusal('noUpstream', { retryAfterSeconds: 1 });
    const isFirst = this.#attempts === 0;
    if (isFirst && !this.#job.mayWait) return createRefusal('noCapacity', { retryAfterSeconds: 1 });
    const waitMs = pool.computeExpectedWaitMs();
    const retryAfterSeconds = Math.ceil(waitMs / MS_PER_SECOND);
    if (pool.isQueueFull()) return createRefusal('queueFull', { retryAfterSeconds });
    if (waitMs + pool.meanServiceTimeMs <= this.#timeLeft) return undefined;
    return createRefusal('noCapacity', { retryAfterSeconds });
  }

  #launch(grant: SlotGrant): void {
    const { slot } = grant;
    const now = this.#dependencies.clock.now();
    if (this.#settled || now >= this.#job.deadline) {
      this.#service.pool.release(slot);
      this.#fail(createRefusal('deadlinePassed'));
      return;
    }
    this.#attempts += 1;
    this.#waitingSince = undefined;
    this.#triedUpstreams = [...this.#triedUpstreams, slot.upstreamId];
    const running = this.#startAttempt(slot, now);
    this.#record('dispatched', {
      upstream: slot.upstreamId,
      slot: slot.id,
      attempt: this.#attempts,
      passedOver: grant.listPassedOver(),
    });
    this.#watch(running);
  }

  #startAttempt(slot: Slot, now: number): RunningAttempt {
    const link = this.#service.getLink(slot);
    // A hedge must not stall on another old connection that no longer responds.
    if (this.#hedged && !link.isFresh) link.replace();
    link.replaceIfIdle(this.#job.repeatable ? STALE_IDLE_REPEATABLE_MS : STALE_IDLE_MS, now);
    const attempt = new Attempt(this.#job, {
      dispatcher: link.client,
      origin: link.origin,
      path: this.#job.head.path,
      maxHeldBytes: this.#dependencies.maxHeldBytes,
    });
    const id = `${this.#job.head.requestId}|${this.#attempts}|${slot.id}`;
    const running = { id, slot, link, attempt, startedAt: now };
    this.#running = [...this.#running, running];
    this.#service.detector.recordStart({
      id,
      upstreamId: slot.upstreamId,
      kind: this.#job.head.kind,
      startedAt: now,
      freshConnection: link.isFresh,
    });
    this.#service.ejections.recordTrial(slot.upstreamId, now);
    attempt.start(this.#job.deadline - now);
    return running;
  }

  #watch(running: RunningAttempt): void {
    const { attempt, link, slot } = running;
    attempt.released
      .then((reusable) => {
        const now = this.#dependencies.clock.now();
        if (reusable) link.recordAnswer(now);
        else link.replace();
        this.#service.pool.release(slot, reusable ? now - running.startedAt : undefined);
      })
      .catch(() => undefined);
    attempt.done.then(async (result) => this.#handleEnd(running, result)).catch(() => undefined);
  }

  async #handleEnd(running: RunningAttempt, result: AttemptResult): Promise<void> {
    await this.#recordOutcome(running, result);
    this.#running = this.#running.filter((other) => other !== running);
    if (this.#settled) return;
    if (result.answer) this.#handleAnswer(result.answer, result);
    else this.#handleFailure(result);
  }

  #handleAnswer(answer: Answer, result: AttemptResult): void {
    if (isServerError(answer) && this.#job.repeatable) {
      this.#serverErrorAnswer = answer;
      this.#retryOrFail(result, true);
      return;
    }
    this.#succeed(answer);
  }

  #handleFailure(result: AttemptResult): void {
    if (result.end.kind !== 'failed') return;
    const error = createRefusal(result.end.result, { retryAfterSeconds: 1 });
    if (error.result.outcome === 'unknown') this.#unknownError = error;
    this.#retryOrFail(result, canTryAgain(result.end, this.#job.repeatable), error);
  }

  #retryOrFail(result: AttemptResult, safe: boolean, error?: RequestError): void {
    if (this.#running.length > 0) return;
    const connectFailed = result.end.kind === 'failed' && result.end.result === 'noUpstream';
    const isQuarantined = this.#dependencies.crashInvestigator.isQuarantined(this.#job.fingerprint);
    const mayRetry = safe && !isQuarantined && this.#attempts < MAX_ATTEMPTS && this.#timeLeft > 0;
    if (mayRetry && (connectFailed || this.#service.retryBudget.takeRetry())) {
      this.#takeSlot();
      return;
    }
    this.#fail(error ?? createRefusal('upstreamLost'));
  }

  #hedgeIfStalled(now: number): void {
    const [only, ...others] = this.#running;
    if (!only || others.length > 0 || this.#hedged || !this.#job.repeatable) return;
    if (!this.#isStalled(only, now)) return;
    const grant = this.#service.pool.acquire(this.#buildSlotRequest());
    if (!grant) return;
    if (!this.#service.retryBudget.takeRetry()) {
      this.#service.pool.release(grant.slot);
      return;
    }
    this.#hedged = true;
    this.#launch(grant);
  }

  /** Whether few requests take this long or, with too few samples, whether a share of its time is up. */
  #isStalled({ slot, startedAt }: RunningAttempt, now: number): boolean {
    const { kind } = this.#job.head;
    const elapsed = now - startedAt;
    const survival = this.#service.detector.computeSurvival(slot.upstreamId, kind, elapsed);
    if (survival !== undefined) return survival <= HEDGE_SURVIVAL;
    return elapsed >= (this.#job.deadline - startedAt) * HEDGE_TIME_SHARE;
  }

  /** Records for outlier detection what an attempt showed about its upstream. */
  async #recordOutcome(running: RunningAttempt, result: AttemptResult): Promise<void> {
    const { id, slot } = running;
    const now = this.#dependencies.clock.now();
    const { detector } = this.#service;
    if (result.reportedLoad !== undefined) {
      this.#service.pool.recordLoad(slot.upstreamId, result.reportedLoad);
    }
    if (result.draining) this.#dependencies.recordDraining(slot.upstreamId);
    if (result.answer) {
      const failed = isServerError(result.answer);
      this.#service.recordEnd(id, slot.upstreamId, failed ? 'failed' : 'completed');
      if (!failed) this.#recordGoodAnswer(running, now);
      return;
    }
    const name = result.end.kind === 'failed' ? result.end.result : undefined;
    if (name === 'upstreamsShed') detector.discardRequest(id);
    else if (name === 'noUpstream' || name === 'upstreamLost') {
      await this.#recordConnectionLoss(running, name);
    } else this.#recordUnsuccessfulEnd(running, name);
  }

  #recordUnsuccessfulEnd({ id, slot }: RunningAttempt, name: ResultName | undefined): void {
    const end = name === 'answerInvalid' ? 'failed' : 'abandoned';
    this.#service.recordEnd(id, slot.upstreamId, end);
  }

  #recordGoodAnswer({ slot, startedAt }: RunningAttempt, now: number): void {
    const { detector, ejections, retryBudget } = this.#service;
    retryBudget.recordSuccess();
    const { kind } = this.#job.head;
    const survival = detector.computeSurvival(slot.upstreamId, kind, now - startedAt);
    if (survival === undefined || survival > HEDGE_SURVIVAL) {
      ejections.recordGoodAnswer(slot.upstreamId);
    }
  }

  async #recordConnectionLoss(
    { id, slot }: RunningAttempt,
    name: 'noUpstream' | 'upstreamLost',
  ): Promise<void> {
    const upstream = this.#service.getUpstream(slot.upstreamId);
    const { detector } = this.#service;
    if (!upstream) {
      detector.discardRequest(id);
      return;
    }
    const { fingerprint } = this.#job;
    const loss = { id, fingerprint: name === 'upstreamLost' ? fingerprint : undefined };
    const crashed = await this.#dependencies.crashInvestigator.investigate(upstream, loss);
    if (crashed) detector.discardRequest(id);
    else this.#service.recordEnd(id, slot.upstreamId, 'failed');
  }

  #succeed(answer: Answer): void {
    this.#settled = true;
    this.#running.forEach(({ attempt }) => attempt.abort('caller-gone'));
    this.#resolve(answer);
  }

  /** Fails the request. If an attempt may have run, the result must not be `not-run`. */
  #fail(error: RequestError): void {
    if (this.#settled) return;
    if (this.#running.length > 0) return;
    this.#settled = true;
    if (this.#serverErrorAnswer) this.#resolve(this.#serverErrorAnswer);
    else this.#reject(this.#unknownError ?? error);
  }

  #record(
    step: 'dispatched' | 'waiting',
    details: Partial<Parameters<DecisionLog['record']>[0]> = {},
  ): void {
    this.#dependencies.decisions.record({
      requestId: this.#job.head.requestId,
      service: this.#service.name,
      step,
      timeLeftMs: Math.round(this.#timeLeft),
      ...details,
    });
  }
}
