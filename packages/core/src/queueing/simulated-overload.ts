/**
 * Replays requests at a few daemons that share the slots of one service, for tests. Decisions are
 * those of the queue and its judge, or those before them: one order for all, and a Retry-After that
 * follows from the expected wait alone.
 */
import { createRandom } from '../runtime/index.js';
import { drawRetryAfterMs, isServable } from './admission.js';
import { AccountParts } from './account-parts.js';
import { ArrivalRate } from './arrival-rate.js';
import type { QueueState, QueuedRequest, RefusalReason } from './index.js';
import { RequestQueue } from './request-queue.js';
import { WaitJudge } from './wait-judge.js';

export type SimulatedRequest = {
  readonly at: number;
  readonly daemon: number;
  readonly account?: { readonly name: string; readonly ratePerSecond: number };
  readonly priority: number;
  readonly targetMs: number;
  readonly limitMs: number;
  /** How often the caller has returned after a refusal. */
  readonly returns?: number;
};

export type SimulatedEnd = SimulatedRequest & {
  readonly isServed: boolean;
  readonly endedAt: number;
  /** Set if the request was refused: how long its caller is told to wait. */
  readonly retryAfterMs: number;
};

export type OverloadOptions = {
  readonly isFormer: boolean;
  readonly daemons: number;
  readonly slots: number;
  readonly serviceMs: number;
  readonly endMs: number;
  readonly requests: readonly SimulatedRequest[];
  /** Requests per second of an account over all daemons. */
  readonly getFleetRate?: (accountName: string) => number | undefined;
  /** How often callers return after a refusal. */
  readonly maxReturns?: number;
};

type Waiting = QueuedRequest & { readonly request: SimulatedRequest };

const STEP_MS = 10;
const RECHECK_MS = 100;

/** A daemon of the simulation. */
class SimulatedDaemon {
  readonly arrivals: ArrivalRate;

  readonly parts: AccountParts;

  readonly judge: WaitJudge;

  readonly queue: RequestQueue<Waiting>;

  #inFlight = 0;

  get inFlight(): number {
    return this.#inFlight;
  }

  constructor(clock: { readonly now: () => number }, seed: number, options: OverloadOptions) {
    this.arrivals = new ArrivalRate(clock);
    this.parts = new AccountParts(clock, options.getFleetRate ?? (() => undefined));
    this.judge = new WaitJudge(createRandom(seed), {
      clock,
      findOwnPart: (name) => this.parts.findOwnPart(name),
      getCapacityPerMs: () => options.slots / options.serviceMs,
    });
    this.queue = new RequestQueue(
      options.isFormer ? undefined : (request) => this.judge.getYieldRank(request),
    );
  }

  recordStart({ priority, account }: SimulatedRequest): void {
    this.judge.recordServed(priority, account);
    this.#inFlight += 1;
  }

  recordEnd(): void {
    this.#inFlight -= 1;
  }
}

export function simulateOverload(options: OverloadOptions): readonly SimulatedEnd[] {
  const { isFormer, slots, serviceMs, endMs, maxReturns = 0 } = options;
  let now = 0;
  const clock = { now: () => now };
  const random = createRandom(41);
  const ends: SimulatedEnd[] = [];
  const starts = new Map<number, SimulatedRequest[]>();
  const finishes = new Map<number, SimulatedDaemon[]>();
  let busy = 0;
  const daemons = Array.from(
    { length: options.daemons },
    (_, index) => new SimulatedDaemon(clock, index + 1, options),
  );
  const computeState = ({ inFlight, arrivals }: SimulatedDaemon, waiting: number): QueueState => ({
    waiting,
    slots: busy === 0 ? slots : (slots * Math.max(inFlight, 1)) / busy,
    meanAttemptMs: serviceMs,
    arrivalsPerMs: arrivals.getPerMs(),
  });
  const scheduleStart = (at: number, request: SimulatedRequest): void => {
    const tick = Math.ceil(at / STEP_MS) * STEP_MS;
    starts.set(tick, [...(starts.get(tick) ?? []), { ...request, at }]);
  };
  const serve = (daemon: SimulatedDaemon, request: SimulatedRequest): void => {
    daemon.recordStart(request);
    busy += 1;
    const endedAt = Math.ceil((now + serviceMs * (0.5 + random.next())) / STEP_MS) * STEP_MS;
    finishes.set(endedAt, [...(finishes.get(endedAt) ?? []), daemon]);
    ends.push({ ...request, isServed: true, endedAt, retryAfterMs: 0 });
  };
  const refuse = (
    daemon: SimulatedDaemon,
    waiting: Waiting,
    reason: RefusalReason,
    retryAfterMs: number,
  ): void => {
    const { request } = waiting;
    const { returns = 0, limitMs, at } = request;
    daemon.judge.recordRefused(request.priority, reason);
    ends.push({ ...request, isServed: false, endedAt: now, retryAfterMs });
    const limitLeftMs = limitMs - (now - at) - retryAfterMs;
    if (returns < maxReturns && limitLeftMs > serviceMs) {
      const again = { ...request, returns: returns + 1, limitMs: limitLeftMs };
      scheduleStart(now + retryAfterMs, again);
    }
  };
  const judge = (
    daemon: SimulatedDaemon,
    waiting: Waiting,
    ahead: number,
    isQueued: boolean,
  ): { readonly reason: RefusalReason; readonly retryAfterMs: number } | undefined => {
    const state = computeState(daemon, ahead);
    if (!isFormer) {
      const verdict = daemon.judge.judge(waiting, state, isQueued);
      return verdict.kind === 'wait' ? undefined : verdict;
    }
    const targetLeftMs = waiting.targetAt - now;
    const timeLeftMs = waiting.latestSendAt - now;
    if (isServable(state, { targetLeftMs, timeLeftMs })) return undefined;
    const waitMs = ((ahead + 1) / state.slots) * serviceMs;
    return { reason: 'slots', retryAfterMs: drawRetryAfterMs(waitMs, timeLeftMs, random) };
  };
  const handleArrival = (request: SimulatedRequest, id: string): void => {
    const daemon = daemons[request.daemon];
    if (!daemon) return;
    const { account, priority, at, targetMs, limitMs } = request;
    daemon.arrivals.recordArrival();
    daemon.judge.recordArrival(account);
    if (account) daemon.parts.recordArrival(account.name);
    if (busy < slots && daemon.queue.size === 0) {
      serve(daemon, request);
      return;
    }
    const waiting: Waiting = {
      id,
      request,
      priority,
      arrivedAt: at,
      targetAt: at + targetMs,
      latestSendAt: at + limitMs - serviceMs / 2,
      expectedAttemptMs: serviceMs,
      isRetry: false,
      accountName: account?.name,
    };
    const refusal = judge(daemon, waiting, daemon.queue.countAhead(waiting, now), false);
    if (refusal) refuse(daemon, waiting, refusal.reason, refusal.retryAfterMs);
    else daemon.queue.add(waiting);
  };
  const serveNext = (order: readonly SimulatedDaemon[]): void => {
    const [daemon, ...others] = order;
    if (!daemon || busy >= slots) return;
    const next = daemon.queue.findNext(now, { wantsKind: () => true, wantsEntry: () => true });
    if (next) {
      daemon.queue.remove(next.id);
      serve(daemon, next.request);
    }
    serveNext(next ? [...others, daemon] : others);
  };
  options.requests.forEach((request) => scheduleStart(request.at, request));
  Array.from({ length: endMs / STEP_MS }, (_, index) => index * STEP_MS).forEach((at) => {
    now = at;
    (finishes.get(at) ?? []).forEach((daemon) => {
      daemon.recordEnd();
      busy -= 1;
    });
    const turn = (at / STEP_MS) % daemons.length;
    serveNext([...daemons.slice(turn), ...daemons.slice(0, turn)]);
    (starts.get(at) ?? []).forEach((request, index) => handleArrival(request, `${at}-${index}`));
    daemons.forEach((daemon) => {
      daemon.queue.takeExpired(now).forEach((one) => refuse(daemon, one, 'expired', 50));
      if (at % RECHECK_MS !== 0) return;
      daemon.queue.list(now).forEach((waiting, ahead) => {
        const refusal = judge(daemon, waiting, ahead, true);
        if (!refusal) return;
        daemon.queue.remove(waiting.id);
        refuse(daemon, waiting, refusal.reason, refusal.retryAfterMs);
      });
    });
  });
  return ends;
}
