/**
 * Finds out whether an upstream has ended when a connection with a request in flight is lost, and
 * which requests it was running.
 *
 * A lost connection alone says little: connections are reset, and a daemon can lose its own links. The
 * upstream has ended if it refuses a new connection while most other upstreams accept one. Ends of
 * several upstreams at the same moment have a common cause, and so has an end while most others cannot be
 * reached. It is no request as a rule, but several requests that end upstreams may come together.
 */
import type { Clock, RandomSource } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import type { LostRequest, UpstreamState } from '../requests/index.js';
import type { Reachability } from '../upstreams/index.js';

/**
 * `ended`: the upstream has ended by itself or by a request. `common-cause`: it has ended together
 * with others, or most others cannot be reached either, though some reply. `alive`: it accepts
 * connections. `unknown`: it does not reply, or none of the others does.
 */
export type EndVerdict = 'ended' | 'common-cause' | 'alive' | 'unknown';

export const END_VERDICTS: readonly EndVerdict[] = ['ended', 'common-cause', 'alive', 'unknown'];

/** An upstream that has ended, and what it was running. */
export type UpstreamEnd = {
  readonly state: UpstreamState;
  /** Requests of this daemon that were lost with it, without duplicates. */
  readonly fingerprints: readonly string[];
  /** Requests of other daemons that were in flight there, as far as known. */
  readonly othersInFlight: number;
  /** Whether it has a common cause with ends of other upstreams. */
  readonly hasCommonCause: boolean;
};

export type UpstreamEndDetectorDependencies = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  /** All upstreams that this daemon knows. */
  readonly listUpstreams: () => readonly UpstreamState[];
  /** Those to which connections could be opened lately. */
  readonly listReachable: () => readonly UpstreamState[];
  readonly onVerdict: (verdict: EndVerdict) => void;
  /** Called when an upstream has ended and a request may be the cause. */
  readonly onEnd: (end: UpstreamEnd) => void;
};

type Investigation = {
  readonly state: UpstreamState;
  readonly startedAt: number;
  readonly fingerprints: Set<string>;
  readonly othersInFlight: number;
  readonly callbacks: (() => void)[];
};

/** What an upstream that refuses connections is compared with. */
type ControlVerdict = 'most-accept' | 'some-reply' | 'none-replies';

/** Other upstreams to which a connection is opened, to find out whether this daemon reaches any. */
const MAX_CONTROLS = 3;
/** Replies that take longer count as none; a round trip within a region takes milliseconds. */
const CONTROL_TIMEOUT_MS = 60;
/** Requests that are lost at the same end are all noticed within this time. */
const GATHER_MS = 30;
/** Ends within this time of each other, with different requests at this many upstreams. */
const COMMON_CAUSE_MS = 250;
const MIN_COMMON_ENDS = 3;

export class UpstreamEndDetector {
  readonly #dependencies: UpstreamEndDetectorDependencies;

  readonly #investigations = new Map<UpstreamState, Investigation>();

  /** Upstreams that refused connections lately, after a request had been lost there. */
  #refusals: readonly Investigation[] = [];

  constructor(dependencies: UpstreamEndDetectorDependencies) {
    this.#dependencies = dependencies;
  }

  /** Records a lost request; calls `onDone` once it is clear whether its upstream has ended. */
  recordLoss({ state, fingerprint, othersInFlight }: LostRequest, onDone: () => void): void {
    const known = this.#investigations.get(state);
    if (known) {
      known.fingerprints.add(fingerprint);
      known.callbacks.push(onDone);
      return;
    }
    const investigation: Investigation = {
      state,
      startedAt: this.#dependencies.clock.now(),
      fingerprints: new Set([fingerprint]),
      othersInFlight,
      callbacks: [onDone],
    };
    this.#investigations.set(state, investigation);
    state.pool.checkReachable((reachability) => this.#handleReply(investigation, reachability));
  }

  #handleReply(investigation: Investigation, reachability: Reachability): void {
    if (reachability !== 'refused') {
      this.#finish(investigation, reachability === 'open' ? 'alive' : 'unknown');
      return;
    }
    const { state, startedAt } = investigation;
    this.#refusals = [...this.#refusals, investigation].filter(
      (one) => one.startedAt >= startedAt - COMMON_CAUSE_MS,
    );
    this.#checkControls(state, (controls) => {
      setTimeout(
        () => this.#finish(investigation, this.#judgeEnd(investigation, controls)),
        Math.max(0, startedAt + GATHER_MS - this.#dependencies.clock.now()),
      );
    });
  }

  /** Ends with the same request do not count: its retries may have caused them one after the other. */
  #judgeEnd({ startedAt, fingerprints }: Investigation, controls: ControlVerdict): EndVerdict {
    if (controls === 'none-replies') return 'unknown';
    if (controls === 'some-reply') return 'common-cause';
    const others = this.#refusals.filter(
      (one) =>
        Math.abs(one.startedAt - startedAt) <= COMMON_CAUSE_MS &&
        ![...one.fingerprints].some((fingerprint) => fingerprints.has(fingerprint)),
    );
    return others.length + 1 >= MIN_COMMON_ENDS ? 'common-cause' : 'ended';
  }

  /** Opens connections to some other upstreams, drawn at random, and calls back once. */
  #checkControls(suspect: UpstreamState, onDone: (verdict: ControlVerdict) => void): void {
    const { listUpstreams, listReachable } = this.#dependencies;
    const count = listUpstreams().length;
    // Without another upstream there is nothing to compare with.
    if (count === 1) {
      onDone('most-accept');
      return;
    }
    const reachable = listReachable();
    const controls = this.#drawControls(suspect, reachable);
    const isMostReachable = reachable.length >= count / 2;
    const needed = Math.max(1, Math.ceil(controls.length / 2));
    let replies: readonly Reachability[] = [];
    let isDone = false;
    const finish = (): void => {
      if (isDone) return;
      isDone = true;
      const openCount = replies.filter((reply) => reply === 'open').length;
      if (isMostReachable && openCount >= needed) onDone('most-accept');
      else onDone(replies.some((reply) => reply !== 'silent') ? 'some-reply' : 'none-replies');
    };
    setTimeout(finish, CONTROL_TIMEOUT_MS);
    controls.forEach(({ pool }) =>
      pool.checkReachable((reply) => {
        replies = [...replies, reply];
        const openCount = replies.filter((one) => one === 'open').length;
        if (openCount >= needed || replies.length === controls.length) finish();
      }),
    );
  }

  /** Those that were reachable lately, or others if there are none. */
  #drawControls(
    suspect: UpstreamState,
    reachable: readonly UpstreamState[],
  ): readonly UpstreamState[] {
    const { listUpstreams, random } = this.#dependencies;
    const refused = this.#refusals.map(({ state }) => state);
    const others = reachable.filter((state) => state !== suspect && !refused.includes(state));
    const candidates =
      others.length > 0 ? others : listUpstreams().filter((state) => state !== suspect);
    return candidates
      .map((state) => ({ state, order: random.next() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, MAX_CONTROLS)
      .map(({ state }) => state);
  }

  #finish(investigation: Investigation, verdict: EndVerdict): void {
    const { state, fingerprints, othersInFlight, callbacks } = investigation;
    this.#investigations.delete(state);
    const { log, onVerdict, onEnd } = this.#dependencies;
    onVerdict(verdict);
    if (verdict !== 'alive') {
      log.info('upstream-end', {
        upstream: state.record.id,
        service: state.record.service,
        verdict,
        requests: [...fingerprints],
        othersInFlight,
      });
    }
    const hasCommonCause = verdict === 'common-cause';
    if (verdict === 'ended' || hasCommonCause) {
      onEnd({ state, fingerprints: [...fingerprints], othersInFlight, hasCommonCause });
    }
    callbacks.forEach((callback) => callback());
  }
}
