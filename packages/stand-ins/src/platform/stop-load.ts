/**
 * Callers for tests of planned stops: each sends one request after the other, on kept and on new
 * connections, with short and long limits and pauses drawn from a seed, until it is told to stop. It
 * also drives signals that slow a daemon down, and judges what became of the requests.
 */
import { createRandom } from '@baobabline/core';
import { setTimeout as wait } from 'node:timers/promises';

import type { SceneOutcome, StopScene } from './stop-scene.js';
import { WireCaller } from './wire-caller.js';

export type StopLoadSettings = {
  readonly seed: number;
  /** Callers for each daemon. */
  readonly callers: number;
  /** Longest pause between two requests of a caller. */
  readonly maxPauseMs: number;
  /** Limits from which each request draws one. */
  readonly limitsMs: readonly number[];
};

export type LoadOutcome = SceneOutcome & {
  readonly kind: 'safe' | 'unsafe';
  readonly daemon: number;
  readonly timeLimitMs: number;
  readonly sentAt: number;
  readonly endedAt: number;
};

export type LoadFigures = {
  readonly sent: number;
  readonly answered: number;
  /** Refused as not run. */
  readonly refused: number;
  /** Answered with another status. */
  readonly failed: number;
  /** Passed on, and ended without an answer. */
  readonly cut: number;
  /**
   * Not passed on, and ended without an answer long after they were sent: either read and given up, or
   * never read by a daemon that was late. Times cannot tell which.
   */
  readonly dropped: number;
  /** Given up by the caller, as no answer came long after its limit. */
  readonly late: number;
  /** Neither passed on nor answered, as the daemon had closed before. */
  readonly unread: number;
  /** Refused as not run though an upstream ran them, or run twice though they may run once. */
  readonly untrue: number;
};

const REFUSED_STATUSES: readonly number[] = [429, 503];
/** A request that ends without an answer after this time may have been read, and given up. */
const READ_AFTER_MS = 500;
/** Callers give up this long after their limit, or a little more. */
const CALLER_GRACE_MS = 990;
const KEPT_SHARE = 0.7;
const SAFE_SHARE = 0.4;
const SEED_STEP = 7919;

/** Whether a request ended without an answer before its caller gave it up. */
function isLost({ status, timeLimitMs, sentAt, endedAt }: LoadOutcome): boolean {
  return status === 0 && endedAt - sentAt < timeLimitMs + CALLER_GRACE_MS;
}

function isEndedAtOnce({ sentAt, endedAt }: LoadOutcome): boolean {
  return endedAt - sentAt <= READ_AFTER_MS;
}

export class StopLoad {
  readonly #scene: StopScene;

  readonly #settings: StopLoadSettings;

  #outcomes: readonly LoadOutcome[] = [];

  #isStopped = false;

  #running: readonly Promise<void>[] = [];

  constructor(scene: StopScene, settings: StopLoadSettings) {
    this.#scene = scene;
    this.#settings = settings;
  }

  /** The requests that have ended; an upstream may begin one after its caller has given up. */
  get outcomes(): readonly LoadOutcome[] {
    const runs = new Set(this.#scene.listRuns());
    return this.#outcomes.map((outcome) => ({ ...outcome, wasRun: runs.has(outcome.id) }));
  }

  /** The requests that ended without an answer though they were read, as far as times tell. */
  listLost(): readonly LoadOutcome[] {
    return this.outcomes.filter(
      (outcome) => isLost(outcome) && (outcome.wasRun || !isEndedAtOnce(outcome)),
    );
  }

  /** Starts the callers of all daemons. */
  start(): void {
    this.#running = this.#scene.addresses.flatMap((_, daemon) =>
      Array.from({ length: this.#settings.callers }, async (_unused, at) =>
        this.#runCaller(daemon, at),
      ),
    );
  }

  /** Resolves once no request is under way any more. */
  async stop(): Promise<void> {
    this.#isStopped = true;
    await Promise.all(this.#running);
  }

  /** Counts how the requests have ended that were sent since a moment. */
  countOutcomes(since = 0): LoadFigures {
    const runs = this.#scene.listRuns();
    const all = this.outcomes.filter(({ sentAt }) => sentAt >= since);
    const unanswered = all.filter(({ status }) => status === 0);
    const lost = unanswered.filter(isLost);
    const cut = lost.filter(({ wasRun }) => wasRun);
    const unread = lost.filter((outcome) => !outcome.wasRun && isEndedAtOnce(outcome));
    const refused = all.filter(({ status }) => REFUSED_STATUSES.includes(status));
    const answered = all.filter(({ status }) => status === 200);
    const untrue = all.filter(
      ({ id, kind, status, wasRun }) =>
        kind === 'unsafe' &&
        ((REFUSED_STATUSES.includes(status) && wasRun) ||
          runs.filter((run) => run === id).length > 1),
    );
    return {
      sent: all.length,
      answered: answered.length,
      refused: refused.length,
      failed: all.length - unanswered.length - refused.length - answered.length,
      cut: cut.length,
      dropped: lost.length - cut.length - unread.length,
      late: unanswered.length - lost.length,
      unread: unread.length,
      untrue: untrue.length,
    };
  }

  async #runCaller(daemon: number, at: number): Promise<void> {
    const { seed, maxPauseMs, limitsMs } = this.#settings;
    const random = createRandom(seed * SEED_STEP + daemon * 100 + at);
    const kept = new WireCaller();
    const sendNext = async (count: number): Promise<void> => {
      if (this.#isStopped) return;
      await wait(random.next() * maxPauseMs);
      const kind = random.next() < SAFE_SHARE ? 'safe' : 'unsafe';
      const timeLimitMs = limitsMs[Math.floor(random.next() * limitsMs.length)] ?? 1000;
      const isKept = random.next() < KEPT_SHARE;
      const id = `load-${daemon}-${at}-${count}`;
      const sentAt = performance.now();
      const outcome = await this.#scene.send({
        id,
        kind,
        timeLimitMs,
        daemon,
        ...(isKept ? { caller: kept } : {}),
      });
      const endedAt = performance.now();
      this.#outcomes = [
        ...this.#outcomes,
        { ...outcome, kind, daemon, timeLimitMs, sentAt, endedAt },
      ];
      await sendNext(count + 1);
    };
    await sendNext(1);
    kept.close();
  }
}

/** Stops and continues a daemon in turn, so that it runs for a share of the time; ends it. */
export function startThrottle(scene: StopScene, daemon: number, share: number): () => void {
  const periodMs = 40;
  let isEnded = false;
  const run = async (): Promise<void> => {
    if (isEnded) return;
    scene.sendSignal('SIGSTOP', daemon);
    await wait(periodMs * (1 - share));
    scene.sendSignal('SIGCONT', daemon);
    await wait(periodMs * share);
    await run();
  };
  const running = run();
  running.catch(() => undefined);
  return () => {
    isEnded = true;
    scene.sendSignal('SIGCONT', daemon);
  };
}

/** Stops and continues a daemon at moments drawn from a seed. */
export function startStalls(
  scene: StopScene,
  daemon: number,
  {
    seed,
    minMs,
    maxMs,
    maxGapMs,
  }: Readonly<Record<'seed' | 'minMs' | 'maxMs' | 'maxGapMs', number>>,
): () => void {
  const random = createRandom(seed);
  let isEnded = false;
  const run = async (): Promise<void> => {
    if (isEnded) return;
    await wait(random.next() * maxGapMs);
    scene.sendSignal('SIGSTOP', daemon);
    await wait(minMs + random.next() * (maxMs - minMs));
    scene.sendSignal('SIGCONT', daemon);
    await run();
  };
  const running = run();
  running.catch(() => undefined);
  return () => {
    isEnded = true;
    scene.sendSignal('SIGCONT', daemon);
  };
}
