/**
 * An emulator of upstreams, dispatchers and callers in simulated time, from a seed. Upstreams fail in
 * spells; dispatchers place requests by a policy and may tell each other what they have seen.
 */
import { createRandom } from '@baobabline/core';
import type { RandomSource } from '@baobabline/core';

import { createPolicy } from './placement-policies.js';
import type { PolicyName } from './placement-policies.js';
import type { PlacementPolicy, SeenOutcome } from './types.js';

export const EMULATED_FAULTS = [
  'errors',
  'slow',
  'hang',
  'shed',
  'reset',
  'flap',
  'one-link',
] as const;
export type EmulatedFault = (typeof EMULATED_FAULTS)[number];

export type EmulationOptions = {
  readonly seed: number;
  readonly seconds: number;
  readonly policy: PolicyName;
  readonly fault: EmulatedFault;
  readonly dispatchers: number;
  /** Whether dispatchers tell each other outcomes and requests in flight. */
  readonly isPooled: boolean;
  readonly requestsPerSecond: number;
};

export type EmulationResult = {
  /** Shares of all requests. */
  readonly served: number;
  readonly inTime: number;
  /** Share of the requests that may run only once and ended without a good answer. */
  readonly onceFailed: number;
};

const UPSTREAMS = 20;
const SLOTS = 3;
const STEP_MS = 5;
const WORK_MS = 150;
/** Spells as seen on the users' quiet days. */
const SPELL_MS = 10_000;
const SOUND_MS = 25_000;
const FAILURE_SHARE = 0.85;
const SOUND_FAILURE_SHARE = 0.012;
const SLOW_FACTOR = 5;
const FLAP_MS = 1400;
const SAFE_SHARE = 0.3;
const TARGET_MS = 500;
const DEADLINE_MS = 1500;
const MAX_ATTEMPTS = 2;
/** Time until what one dispatcher has seen reaches the others. */
const POOL_DELAY_MS = 15;
/** Under these, upstreams answer that they failed; what does not answer tells of one link alone. */
const ANSWERING_FAULTS: readonly EmulatedFault[] = ['errors', 'slow', 'shed'];
/** An attempt without an answer for so long is held against its upstream. */
const OVERDUE_MS = 600;
/** A request that may run again is sent elsewhere after so long without an answer. */
const HEDGE_MS = 375;
/** A connection that does not come about is given up after this. */
const CONNECT_MS = 300;

type Caller = {
  readonly arrivedAt: number;
  readonly dispatcher: number;
  readonly isRepeatable: boolean;
  readonly attempts: number;
};

type Attempt = {
  readonly caller: Caller;
  readonly upstream: number;
  readonly startedAt: number;
  readonly endAt: number;
  readonly end: 'good' | 'failed' | 'not-run' | 'silent';
};

type News = SeenOutcome & { readonly dueAt: number; readonly from: number };

export class Emulator {
  readonly #options: EmulationOptions;

  readonly #random: RandomSource;

  readonly #policies: readonly PlacementPolicy[];

  /** For each upstream the times at which its state changes, sound at first. */
  readonly #changes: readonly (readonly number[])[];

  #line: readonly Caller[] = [];

  #running: readonly Attempt[] = [];

  #news: readonly News[] = [];

  #now = 0;

  #count = 0;

  #onceCount = 0;

  #served = 0;

  #inTime = 0;

  #onceServed = 0;

  constructor(options: EmulationOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    const policyRandom = createRandom(options.seed + 1);
    this.#policies = Array.from({ length: options.dispatchers }, () =>
      createPolicy(options.policy, policyRandom),
    );
    this.#changes = Array.from({ length: UPSTREAMS }, () => this.#drawChanges());
  }

  /** Runs the emulation to its end. */
  run(): EmulationResult {
    const steps = (this.#options.seconds * 1000) / STEP_MS;
    Array.from({ length: steps }).forEach(() => this.#runStep());
    return {
      served: this.#served / this.#count,
      inTime: this.#inTime / this.#count,
      onceFailed: 1 - this.#onceServed / this.#onceCount,
    };
  }

  #runStep(): void {
    this.#now += STEP_MS;
    this.#publishNews();
    const ended = this.#running.filter(({ endAt }) => endAt <= this.#now);
    this.#running = this.#running.filter(({ endAt }) => endAt > this.#now);
    ended.forEach((attempt) => this.#handleEnd(attempt));
    this.#recordOverdue();
    const expected = (this.#options.requestsPerSecond * STEP_MS) / 1000;
    if (this.#random.next() < expected) this.#addCaller();
    this.#line = this.#line.filter(({ arrivedAt }) => this.#now - arrivedAt < DEADLINE_MS);
    this.#line = this.#line.filter((caller) => !this.#tryPlace(caller));
  }

  #addCaller(): void {
    const isRepeatable = this.#random.next() < SAFE_SHARE;
    const dispatcher = Math.floor(this.#random.next() * this.#policies.length);
    this.#count += 1;
    if (!isRepeatable) this.#onceCount += 1;
    this.#line = [...this.#line, { arrivedAt: this.#now, dispatcher, isRepeatable, attempts: 0 }];
  }

  #tryPlace(caller: Caller): boolean {
    const policy = this.#policies[caller.dispatcher];
    const upstreams = this.#changes.map((_, index) => ({
      id: String(index),
      slots: SLOTS,
      inFlight: this.#countInFlight(index, caller.dispatcher),
    }));
    const canTryAgain = caller.attempts + 1 < MAX_ATTEMPTS;
    const request = { isRepeatable: caller.isRepeatable, canTryAgain };
    const chosen = policy?.choose(request, upstreams, this.#now);
    if (chosen === undefined) return false;
    this.#running = [...this.#running, this.#buildAttempt(caller, Number(chosen))];
    return true;
  }

  #countInFlight(upstream: number, dispatcher: number): number {
    return this.#running.filter(
      (attempt) =>
        attempt.upstream === upstream &&
        (this.#options.isPooled || attempt.caller.dispatcher === dispatcher),
    ).length;
  }

  #buildAttempt(caller: Caller, upstream: number): Attempt {
    const next = { ...caller, attempts: caller.attempts + 1 };
    const running = this.#running.filter((attempt) => attempt.upstream === upstream).length;
    const queued = Math.max(0, running - SLOTS + 1) * (WORK_MS / SLOTS);
    const workMs = WORK_MS * (0.5 + this.#random.next()) + queued;
    const end = this.#drawEnd(upstream, caller.dispatcher);
    const elapsed = this.#computeElapsed(end, workMs, upstream, caller);
    return { caller: next, upstream, startedAt: this.#now, endAt: this.#now + elapsed, end };
  }

  #drawEnd(upstream: number, dispatcher: number): Attempt['end'] {
    const { fault } = this.#options;
    const isBad = this.#isInSpell(upstream) && (fault !== 'one-link' || dispatcher === 0);
    if (!isBad || fault === 'slow') {
      return this.#random.next() < SOUND_FAILURE_SHARE ? 'failed' : 'good';
    }
    const isFlapDown = Math.floor(this.#now / FLAP_MS) % 2 === 0;
    if (fault === 'flap') return isFlapDown ? 'not-run' : 'good';
    if (this.#random.next() > FAILURE_SHARE) return 'good';
    if (fault === 'hang') return 'silent';
    return fault === 'shed' || fault === 'one-link' ? 'not-run' : 'failed';
  }

  #computeElapsed(end: Attempt['end'], workMs: number, upstream: number, caller: Caller): number {
    const { fault } = this.#options;
    if (end === 'silent') {
      const left = Math.max(STEP_MS, caller.arrivedAt + DEADLINE_MS - this.#now);
      return caller.isRepeatable ? Math.min(HEDGE_MS, left) : left;
    }
    if (end === 'not-run') return fault === 'one-link' ? CONNECT_MS : STEP_MS;
    if (end === 'failed') return STEP_MS;
    return fault === 'slow' && this.#isInSpell(upstream) ? workMs * SLOW_FACTOR : workMs;
  }

  #handleEnd(attempt: Attempt): void {
    const { caller, end, upstream, startedAt } = attempt;
    const isGood = end === 'good';
    const outcome = {
      upstreamId: String(upstream),
      isGood,
      at: isGood ? startedAt : this.#now,
      isSilent: end === 'silent',
    };
    this.#policies[caller.dispatcher]?.record(outcome);
    const isAnswered = isGood || ANSWERING_FAULTS.includes(this.#options.fault);
    if (this.#options.isPooled && isAnswered) {
      const news = { ...outcome, from: caller.dispatcher, dueAt: this.#now + POOL_DELAY_MS };
      this.#news = [...this.#news, news];
    }
    if (isGood) this.#recordServed(caller);
    else this.#tryAgain(caller, end);
  }

  #recordOverdue(): void {
    this.#running
      .filter(({ end, startedAt }) => end === 'silent' && this.#now - startedAt === OVERDUE_MS)
      .forEach(({ caller, upstream }) => {
        const outcome = {
          upstreamId: String(upstream),
          isGood: false,
          at: this.#now,
          isSilent: true,
        };
        this.#policies[caller.dispatcher]?.record(outcome);
      });
  }

  #recordServed({ arrivedAt, isRepeatable }: Caller): void {
    this.#served += 1;
    if (this.#now - arrivedAt <= TARGET_MS) this.#inTime += 1;
    if (!isRepeatable) this.#onceServed += 1;
  }

  /** Only what is proved not to have run goes on without being repeatable. */
  #tryAgain(caller: Caller, end: Attempt['end']): void {
    const mayRepeat = (caller.isRepeatable || end === 'not-run') && caller.attempts < MAX_ATTEMPTS;
    if (mayRepeat) this.#line = [caller, ...this.#line];
  }

  #publishNews(): void {
    const due = this.#news.filter(({ dueAt }) => dueAt <= this.#now);
    this.#news = this.#news.filter(({ dueAt }) => dueAt > this.#now);
    due.forEach(({ from, dueAt, ...outcome }) =>
      this.#policies.forEach((policy, index) => {
        if (index !== from) policy.record(outcome);
      }),
    );
  }

  #isInSpell(upstream: number): boolean {
    const passed = this.#changes[upstream]?.filter((at) => at <= this.#now).length ?? 0;
    return passed % 2 === 1;
  }

  #drawChanges(): readonly number[] {
    const end = this.#options.seconds * 1000;
    const drawMs = (mean: number): number => -Math.log(1 - this.#random.next()) * mean;
    const build = (at: number, changes: readonly number[]): readonly number[] => {
      const next = at + drawMs(changes.length % 2 === 0 ? SOUND_MS : SPELL_MS);
      return next >= end ? changes : build(next, [...changes, next]);
    };
    return build(0, []);
  }
}
