/**
 * Finds out whether this daemon has lost its links to the upstreams, while clients, the store and other
 * daemons still reach it.
 *
 * Load pattern: connections to many upstreams fail at the same moment, are refused or stay silent. The
 * upstreams may have ended, or this daemon, or its whole data centre, may be cut off from them. Few
 * failures at one upstream after the other start no check. A check opens connections without a request
 * to some upstreams; most of them must fail twice, or once if a daemon of the data centre has lost its
 * links already.
 */
import type { Clock, RandomSource } from '@baobabline/core';

import type { UpstreamState } from '../requests/index.js';

export type UpstreamLinkMonitorDependencies = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly listUpstreams: () => readonly UpstreamState[];
  /** Whether another daemon of this data centre has lost its links. */
  readonly hasCutOffNeighbour: () => boolean;
  /** Called when the links are lost, and when they are back; `reached` of `checked` upstreams. */
  readonly onChange: (isCutOff: boolean, reached: number, checked: number) => void;
};

/** Upstreams that must have failed within the time below before the links are checked. */
const MIN_FAILED_UPSTREAMS = 3;
const FAILURE_MEMORY_MS = 1000;
const CHECKED_UPSTREAMS = 8;
/** Fewer while the links are lost, since checks go on for as long as that lasts. */
const RECHECKED_UPSTREAMS = 4;
/** Longer than the pools wait for a connection. */
const CHECK_TIMEOUT_MS = 400;
const CONFIRM_DELAY_MS = 100;
const MIN_CHECK_INTERVAL_MS = 500;
const RECHECK_INTERVAL_MS = 1000;
/** Below this part of the checked upstreams the links count as lost. */
const LOST_SHARE = 0.5;
/** From this part on they count as back; more than above, so that the verdict does not flap. */
const BACK_SHARE = 0.75;
const CONFIRMATIONS = 2;

export class UpstreamLinkMonitor {
  readonly #dependencies: UpstreamLinkMonitorDependencies;

  /** When upstreams last failed, by id. */
  #failures: ReadonlyMap<string, number> = new Map();

  #isCutOff = false;

  #isChecking = false;

  #checkedAt = Number.NEGATIVE_INFINITY;

  /** Checks in a row that speak for a change. */
  #strikes = 0;

  #hadCutOffNeighbour = false;

  #timer: NodeJS.Timeout | undefined;

  constructor(dependencies: UpstreamLinkMonitorDependencies) {
    this.#dependencies = dependencies;
  }

  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  /** Records that a connection to an upstream could not be opened or used, or brought no answer. */
  recordFailure(upstreamId: string): void {
    const now = this.#dependencies.clock.now();
    const recent = [...this.#failures].filter(([, at]) => at > now - FAILURE_MEMORY_MS);
    this.#failures = new Map([...recent, [upstreamId, now]]);
    const needed = Math.min(MIN_FAILED_UPSTREAMS, this.#dependencies.listUpstreams().length);
    if (this.#failures.size >= needed) this.#checkIfDue();
  }

  /** Checks lost links again, and own ones if a neighbour has lost its; to be called regularly. */
  runTick(): void {
    const hasCutOffNeighbour = this.#dependencies.hasCutOffNeighbour();
    if (this.#isCutOff || (hasCutOffNeighbour && !this.#hadCutOffNeighbour)) this.#checkIfDue();
    this.#hadCutOffNeighbour = hasCutOffNeighbour;
  }

  stop(): void {
    clearTimeout(this.#timer);
  }

  #checkIfDue(): void {
    const now = this.#dependencies.clock.now();
    const intervalMs = this.#isCutOff ? RECHECK_INTERVAL_MS : MIN_CHECK_INTERVAL_MS;
    if (this.#strikes === 0 && now - this.#checkedAt < intervalMs) return;
    this.#check();
  }

  #check(): void {
    if (this.#isChecking) return;
    const { clock } = this.#dependencies;
    const sample = this.#drawSample();
    if (sample.length === 0) return;
    this.#isChecking = true;
    this.#checkedAt = clock.now();
    let reached = 0;
    let replies = 0;
    let isDone = false;
    const finish = (): void => {
      if (isDone) return;
      isDone = true;
      clearTimeout(this.#timer);
      this.#isChecking = false;
      this.#judge(reached, sample.length);
    };
    this.#timer = setTimeout(finish, CHECK_TIMEOUT_MS);
    sample.forEach(({ pool }) =>
      pool.checkReachable((reachability) => {
        replies += 1;
        if (reachability === 'open') reached += 1;
        if (replies === sample.length) finish();
      }),
    );
  }

  #judge(reached: number, checked: number): void {
    const share = reached / checked;
    const speaksForChange = this.#isCutOff ? share >= BACK_SHARE : share < LOST_SHARE;
    if (!speaksForChange) {
      this.#strikes = 0;
      return;
    }
    this.#strikes += 1;
    const isCorroborated = !this.#isCutOff && this.#dependencies.hasCutOffNeighbour();
    if (this.#strikes < CONFIRMATIONS && !isCorroborated) {
      this.#timer = setTimeout(() => this.#check(), CONFIRM_DELAY_MS);
      return;
    }
    this.#strikes = 0;
    this.#isCutOff = !this.#isCutOff;
    this.#dependencies.onChange(this.#isCutOff, reached, checked);
  }

  #drawSample(): readonly UpstreamState[] {
    const { listUpstreams, random } = this.#dependencies;
    return listUpstreams()
      .filter(({ isLeaving }) => !isLeaving)
      .map((state) => ({ state, order: random.next() }))
      .sort((left, right) => left.order - right.order)
      .slice(0, this.#isCutOff ? RECHECKED_UPSTREAMS : CHECKED_UPSTREAMS)
      .map(({ state }) => state);
  }
}
