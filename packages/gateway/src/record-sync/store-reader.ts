/**
 * Keeps the replica up to date from the platform's store: reads all records once and then watches
 * for changes. A watch that was cut is resumed from the known revision at once, so that each change is
 * still seen in order. After an outage of the store, or once it came back from an older copy, missing
 * records are kept for a grace period, since entries that expired or were lost are registered again
 * within seconds. Records that are present are applied at once.
 */
import type { Clock, RandomSource, Replica, StoreOutages } from '@baobabline/core';
import type { Log } from '@baobabline/daemon';
import { setTimeout as wait } from 'node:timers/promises';

import { SourceRefusedError } from '../dialect/index.js';
import type { RecordSource } from '../dialect/index.js';

/** Takes in what calls to the store have confirmed. */
export interface StoreConfirmations {
  /** The time by which the age of a confirmation is measured, in milliseconds. */
  now(): number;
  /**
   * Records that a call has shown all that the store held, in an era, when the call began. The answer
   * to a watch may be older than its arrival.
   */
  recordRead(beganAt: number, era: number): void;
}

export type StoreReaderDependencies = {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly replica: Replica;
  readonly source: RecordSource;
  readonly outages: StoreOutages;
  readonly confirmations: StoreConfirmations;
  /** Whether this daemon should read now. */
  readonly shouldRead: () => boolean;
  /** Longest time until `shouldRead` may change, in milliseconds. */
  readonly getIdleMs: () => number;
  /** Called before each call to the store. */
  readonly onCall: () => void;
  readonly onChanged: () => void;
  /** Called when an answer of the store has been applied. */
  readonly onRead: () => void;
  /** Called when the store has stopped answering. */
  readonly onAway: () => void;
};

/** Duration of the watch with which a daemon begins or resumes: it asks for what has changed so far. */
const FIRST_WATCH_MS = 1;
/** Duration of a watch; one that ends without an answer shows that the connection is dead. */
const WATCH_MS = 700;
/** Time within which the store answers a call that does not wait. */
const PROMPT_ANSWER_MS = 300;
/** Pause after a change, so that the next watch returns further changes together. */
const BATCH_DELAY_MS = 60;
/** Longest delay after a call that was cut, so that readers whose watches end together spread out. */
const RESUME_SPREAD_MS = 60;
/** Delay after any other first failure; it doubles with each further failure up to the maximum. */
const FIRST_RETRY_MS = 200;
const MAX_RETRY_MS = 1000;
/** Maximum share added to a delay at random, so that readers do not retry at the same time. */
const RETRY_JITTER_SHARE = 0.5;
const MAX_IDLE_MS = 200;
/** Interval of full reads during the grace period. */
const GRACE_READ_MS = 500;
/** Upstreams write again within this time what a restore has lost. */
const RESTORE_GRACE_MS = 2000;

export class StoreReader {
  readonly #dependencies: StoreReaderDependencies;

  /** Time of the first failed call; undefined while the store answers. */
  #awaySince: number | undefined;

  #needsFullRead = true;

  /** Watches in a row that the store had no history for. */
  #historyLosses = 0;

  /** Era and bounds of the replica up to which its records were read by this daemon or its peers. */
  #readEra: number | undefined;

  #readBoundChanges = 0;

  #isStopped = false;

  #failures = 0;

  /** Whether the last call was cut and its resumption has not succeeded yet. */
  #isResuming = false;

  #isReading = false;

  #isFirstWatch = false;

  constructor(dependencies: StoreReaderDependencies) {
    this.#dependencies = dependencies;
  }

  /** Whether the last call to the store failed. */
  get isAway(): boolean {
    return this.#awaySince !== undefined;
  }

  /** Time since the store stopped answering, in milliseconds; 0 while it answers. */
  get awayMs(): number {
    return this.#awaySince === undefined ? 0 : this.#dependencies.clock.now() - this.#awaySince;
  }

  /** Reads and watches the store until `stop` is called. */
  start(): void {
    this.#runOnce()
      .catch((error: Error) =>
        this.#dependencies.log.error('store-reader-failed', { reason: error.message }),
      )
      .finally(() => {
        if (!this.#isStopped) setImmediate(() => this.start());
      });
  }

  stop(): void {
    this.#isStopped = true;
  }

  async #runOnce(): Promise<void> {
    const shouldRead = this.#dependencies.shouldRead();
    this.#recordRole(shouldRead);
    if (!shouldRead) {
      this.#awaySince = undefined;
      this.#failures = 0;
      this.#isResuming = false;
      await wait(Math.min(MAX_IDLE_MS, this.#dependencies.getIdleMs()));
      return;
    }
    const { clock, onCall } = this.#dependencies;
    const startedAt = clock.now();
    const answerMs = this.#computeAnswerMs();
    try {
      onCall();
      const beganAt = this.#dependencies.confirmations.now();
      await (this.#shouldReadAll() ? this.#readAll(beganAt) : this.#watch(beganAt));
      this.#recordSuccess();
    } catch (error) {
      const isRefused = error instanceof SourceRefusedError;
      const wasCut = !isRefused && clock.now() - startedAt < answerMs;
      // One cut says nothing about the store; a second one in a row counts as any other failure.
      if (wasCut && !this.#isResuming && this.#failures === 0) {
        await this.#resume(error as Error);
        return;
      }
      this.#recordFailure(error as Error);
      await wait(this.#drawRetryMs(this.#failures));
    }
  }

  #recordRole(isReading: boolean): void {
    if (isReading === this.#isReading) return;
    this.#isReading = isReading;
    const { log, replica } = this.#dependencies;
    log.info(isReading ? 'store-reading' : 'store-left-to-others', { revision: replica.revision });
    if (!isReading) return;
    this.#isFirstWatch = true;
    this.#needsFullRead =
      replica.revision === 0 ||
      !replica.hasCompleteRead ||
      replica.unusableConfiguration !== undefined;
    this.#readEra = replica.era;
    this.#readBoundChanges = replica.boundChanges;
  }

  #shouldReadAll(): boolean {
    const { era, boundChanges } = this.#dependencies.replica;
    const { mayLackEntries } = this.#dependencies.outages;
    return (
      this.#needsFullRead ||
      mayLackEntries ||
      era !== this.#readEra ||
      boundChanges !== this.#readBoundChanges
    );
  }

  /** Time within which a store that is in touch answers the next call, in milliseconds. */
  #computeAnswerMs(): number {
    return this.#shouldReadAll() || this.#isFirstWatch ? PROMPT_ANSWER_MS : WATCH_MS;
  }

  async #resume(error: Error): Promise<void> {
    const { log, random } = this.#dependencies;
    this.#isResuming = true;
    this.#isFirstWatch = true;
    log.info('store-call-cut', { reason: error.message });
    await wait(random.next() * RESUME_SPREAD_MS);
  }

  async #readAll(beganAt: number): Promise<void> {
    const { replica, source, outages, clock, confirmations, onChanged } = this.#dependencies;
    const { era: statedEra, changes } = await source.readAll();
    const now = clock.now();
    const era = this.#checkEra(statedEra);
    replica.recordEra(era, changes.revision, now);
    outages.recordServed(now);
    const graceUntil = Math.max(outages.graceUntil, replica.eraLearnedAt + RESTORE_GRACE_MS);
    const isInGrace = now < graceUntil;
    replica.applyStoreChanges(era, changes, now, isInGrace);
    this.#needsFullRead = isInGrace;
    this.#isFirstWatch = false;
    this.#readEra = era;
    this.#readBoundChanges = replica.boundChanges;
    confirmations.recordRead(beganAt, era);
    onChanged();
    this.#recordSuccess();
    if (isInGrace) await wait(Math.min(GRACE_READ_MS, graceUntil - now));
  }

  async #watch(beganAt: number): Promise<void> {
    const { replica, source, outages, clock, log, confirmations, onChanged } = this.#dependencies;
    const { era: askedEra, revision } = replica;
    // A removal that a read of the whole store has shown stands between two of its revisions.
    const waitMs = this.#isFirstWatch ? FIRST_WATCH_MS : WATCH_MS;
    this.#isFirstWatch = false;
    const { era: statedEra, changes } = await source.watch(Math.floor(revision), waitMs);
    const era = this.#checkEra(statedEra);
    outages.recordServed(clock.now());
    // Removals after an outage may be entries that expired in it; the whole read tells what is kept.
    if (outages.mayLackEntries) {
      await this.#readAll(beganAt);
      return;
    }
    if (!changes || era !== askedEra) {
      log.warn('store-history-lost', { revision, knownEra: askedEra, era });
      this.#needsFullRead = true;
      this.#historyLosses += 1;
      // A store that keeps losing its history is read again only after a pause.
      if (this.#historyLosses > 1) await wait(this.#drawRetryMs(this.#historyLosses - 1));
      return;
    }
    this.#historyLosses = 0;
    const changedRecords = replica.applyStoreChanges(era, changes, clock.now());
    confirmations.recordRead(beganAt, era);
    if (changedRecords.length === 0) return;
    onChanged();
    this.#recordSuccess();
    await wait(BATCH_DELAY_MS);
  }

  /**
   * Returns the era of an answer: the newest known one if it states none or an impossible one. Throws
   * if it is earlier than the newest one, since such an answer is late.
   */
  #checkEra(stated: number | undefined): number {
    const { replica, log } = this.#dependencies;
    const newest = replica.era ?? 0;
    if (stated === undefined) return newest;
    if (!replica.isPlausibleEra(stated)) {
      log.warn('era-implausible', { era: stated, knownEra: newest });
      return newest;
    }
    if (stated < newest) throw new Error(`answer of era ${stated} after era ${newest}`);
    return stated;
  }

  /** Draws the delay after a number of failures in a row. */
  #drawRetryMs(failures: number): number {
    const longest = Math.min(FIRST_RETRY_MS * 2 ** (failures - 1), MAX_RETRY_MS);
    return longest * (1 + this.#dependencies.random.next() * RETRY_JITTER_SHARE);
  }

  #recordSuccess(): void {
    this.#failures = 0;
    this.#isResuming = false;
    this.#dependencies.onRead();
    if (this.#awaySince === undefined) return;
    const now = this.#dependencies.clock.now();
    this.#dependencies.log.info('store-back', { awayMs: Math.round(now - this.#awaySince) });
    this.#awaySince = undefined;
  }

  #recordFailure(error: Error): void {
    this.#isFirstWatch = true;
    this.#failures += 1;
    if (this.#awaySince !== undefined) return;
    this.#awaySince = this.#dependencies.clock.now();
    this.#dependencies.log.warn('store-away', { reason: error.message });
    this.#dependencies.onAway();
  }
}
