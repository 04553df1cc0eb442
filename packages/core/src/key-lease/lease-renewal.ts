/**
 * Renews a daemon's key lease: takes in what its own calls to the store confirm, once other daemons have
 * shown that the store has lost nothing, asks them for the age of their leases, and answers them.
 *
 * Load patterns:
 * - Hundreds of idle daemons need a lease at any moment. Each asks one reader, soon after that reader
 *   expects to have heard from the store.
 * - Datagrams are lost, late, or out of order. A lease begins when the question was sent less the age
 *   in the answer, so that delay only shortens it, and each question is answered once at most.
 * - The store is silent. Every daemon asks a few others twice a second and keeps to it, so that no
 *   daemon is asked by all at the same time, and all have leases again soon after it is back.
 */
import type { Clock, RandomSource } from '../runtime/index.js';
import type { ConfigurationPosition } from '../replication/index.js';
import { chooseLeaseSources } from './choose-lease-sources.js';
import type { KeyLease } from './key-lease.js';
import { ReadCorroboration } from './read-corroboration.js';
import { computeProvenEra, listErasUntil } from './proven-era.js';
import type { LeaseAnswer, LeaseSource, LeaseSources } from './types.js';

export type LeaseRenewalPorts = {
  /** The clock of the lease. */
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly lease: KeyLease;
  /** Whether callers send their requests to this daemon. */
  readonly isDispatcher: () => boolean;
  readonly listSources: () => LeaseSources;
  /** Whether a daemon was heard lately that is not among the sources yet. */
  readonly hasStranger: () => boolean;
  /** The configuration in force; undefined if it needs no lease. */
  readonly getConfiguration: () => ConfigurationPosition | undefined;
  /** Whether this configuration or a newer one is in force. */
  readonly hasConfiguration: (position: ConfigurationPosition) => boolean;
  readonly send: (nonce: number, source: LeaseSource) => void;
};

/** An answer that did not count, since its configuration was newer than the one in force. */
type DeferredAnswer = {
  readonly source: LeaseSource;
  readonly askedAt: number;
  readonly startedAt: number;
  readonly expectedAt: number;
  readonly configuration: ConfigurationPosition;
};

const IDLE_INTERVAL_MS = 1000;
const DISPATCHER_INTERVAL_MS = 500;
/** Interval while less than half of the lease is left. */
const SHORT_INTERVAL_MS = 250;
const MIN_INTERVAL_MS = 20;
/** Interval while the answering daemon's own confirmation is overdue. */
const OVERDUE_INTERVAL_MS = 200;
/** Room for a call to the store that lasts a little longer than the one before. */
const READ_ROOM_MS = 30;
/** Time from a question to its answer, for callers that are told when to try again. */
const ANSWER_MS = 20;
/** Daemons that follow the same reader ask it within this time, each at another moment. */
const DISPATCHER_SPREAD_MS = 20;
const IDLE_SPREAD_MS = 60;
/** Time without a good answer after which the next round begins. */
const ANSWER_TIMEOUT_MS = 200;
/** Interval of rounds after several without a good answer. */
const RETRY_INTERVAL_MS = 500;
const MAX_QUICK_ROUNDS = 3;
/** The same of a daemon that has just started; callers wait for it. */
const MAX_QUICK_START_ROUNDS = 12;
/** Later answers are ignored. */
const QUESTION_LIFETIME_MS = 1000;
/** Above the age of the lease of any daemon that is in touch with the store. */
const GOOD_AGE_MS = 2000;
/** A daemon that reads the store asks others if its own calls have confirmed nothing for this long. */
const OWN_READ_MS = 1900;
/** Below this, a lease that nobody renews is taken for lost. */
const WEAK_LEASE_MS = 1500;
/** Rounds without a good answer, 1.6 s, after which a daemon may count as cut off. */
const CUT_OFF_ROUNDS = 5;
/** Time without any answer after which it reaches no other. */
const ISOLATED_MS = 1000;
/** Bounds of the time after which callers are told to try again while there is no lease. */
const MIN_RETRY_AFTER_MS = 500;
const MAX_RETRY_AFTER_MS = 2000;
const NONCE_RANGE = 2 ** 32;
/** What a daemon without a configuration states: any other one is as new. */
const NO_CONFIGURATION: ConfigurationPosition = { version: 0, era: 0, revision: 0, eras: [] };

export class LeaseRenewal {
  readonly #ports: LeaseRenewalPorts;

  readonly #questions = new Map<
    number,
    { readonly source: LeaseSource; readonly sentAt: number }
  >();

  #nextRoundAt = Number.NEGATIVE_INFINITY;

  /** Rounds in a row without a good answer. */
  #failedRounds = 0;

  /** Whether a round was begun that has had no good answer. */
  #isAsking = false;

  #preferredId: string | undefined;

  /** By the daemon that answered. */
  readonly #deferred = new Map<string, DeferredAnswer>();

  readonly #corroboration: ReadCorroboration;

  #answeredAt = Number.NEGATIVE_INFINITY;

  constructor(ports: LeaseRenewalPorts) {
    this.#ports = ports;
    const { clock, listSources, hasStranger } = ports;
    this.#corroboration = new ReadCorroboration(clock, listSources, hasStranger);
  }

  /** Time until `runTick` has something to do, in milliseconds. */
  get idleMs(): number {
    const dueAt = Math.min(this.#nextRoundAt, this.#corroboration.endsAt ?? Infinity);
    return Math.max(0, dueAt - this.#ports.clock.now());
  }

  /**
   * Whether the lease is lost, or nearly, for a reason that other daemons do not share: none answers,
   * or one has a newer configuration, which does not reach this daemon. While the store is silent for
   * all of them no daemon is better than another.
   */
  get isCutOff(): boolean {
    const { lease, clock } = this.#ports;
    if (lease.remainingMs >= WEAK_LEASE_MS || this.#failedRounds < CUT_OFF_ROUNDS) return false;
    const isIsolated = clock.now() - this.#answeredAt > ISOLATED_MS;
    const newerAt = Math.max(
      ...[...this.#deferred.values()].map(({ startedAt }) => startedAt),
      Number.NEGATIVE_INFINITY,
    );
    return isIsolated || newerAt > lease.startedAt + GOOD_AGE_MS;
  }

  /**
   * When a request that is refused for want of a lease may be accepted. A silence of the store that has
   * lasted for some time is expected to last as long again.
   */
  get retryAfterMs(): number {
    const { lease } = this.#ports;
    if (lease.isValid) return this.idleMs + ANSWER_MS;
    const lostMs = lease.ageMs - lease.durationMs;
    if (lostMs === Number.POSITIVE_INFINITY) return MIN_RETRY_AFTER_MS;
    return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, lostMs));
  }

  /** Whether a configuration in force was ever proven to be the newest. */
  get hasProof(): boolean {
    return this.#corroboration.provenEra !== undefined;
  }

  /** Begins a round of questions if one is due. */
  runTick(): void {
    if (!this.#ports.getConfiguration()) return;
    const now = this.#ports.clock.now();
    this.#applyDeferred();
    this.#applyProvenRead();
    this.#expireQuestions(now);
    if (now < this.#nextRoundAt) return;
    this.#failedRounds = this.#isAsking ? this.#failedRounds + 1 : 0;
    this.#isAsking = true;
    this.#nextRoundAt = now + this.#computeTimeoutMs();
    this.#ask(now);
  }

  /**
   * Records that a call to the store, which began at `beganAt`, has shown what the store holds in an era.
   */
  recordRead(beganAt: number, era: number): void {
    const now = this.#ports.clock.now();
    // The next call begins now, and lasts about as long.
    const expectedAt = now + (now - beganAt) + READ_ROOM_MS;
    const wasWaiting = this.#corroboration.isWaiting;
    if (this.#corroboration.acceptRead(era, { beganAt, expectedAt })) {
      this.#recordProof(beganAt, expectedAt);
    } else if (!wasWaiting && this.#corroboration.isWaiting) this.#nextRoundAt = now;
    this.#applyProvenRead();
  }

  /**
   * Builds the answer to a question; undefined if this daemon has no lease, and may still hear of daemons
   * that have one. The eras in it end with the one in which the lease was proven.
   */
  buildAnswer(nonce: number): LeaseAnswer | undefined {
    if (!this.hasProof && !this.#corroboration.hasListened) return undefined;
    const { lease, getConfiguration } = this.#ports;
    const configuration = getConfiguration() ?? NO_CONFIGURATION;
    const { provenEra } = this.#corroboration;
    const eras = listErasUntil(configuration.eras, provenEra);
    if (!eras) return { nonce, ageMs: Number.POSITIVE_INFINITY, renewsInMs: 0, configuration };
    const { ageMs, renewsInMs } = lease;
    return { nonce, ageMs, renewsInMs, configuration: { ...configuration, eras } };
  }

  /** Whether a question with this nonce waits for an answer from an address. */
  hasAsked(nonce: number, address: string): boolean {
    this.#expireQuestions(this.#ports.clock.now());
    return this.#questions.get(nonce)?.source.address === address;
  }

  /** Takes in an answer; one that nobody asked for, or that comes late, is ignored. */
  handleAnswer({ nonce, ageMs, renewsInMs, configuration }: LeaseAnswer, address: string): void {
    const now = this.#ports.clock.now();
    this.#expireQuestions(now);
    const question = this.#questions.get(nonce);
    if (question?.source.address !== address) return;
    // A daemon that never had a lease answers once more when it has one.
    if (ageMs !== Number.POSITIVE_INFINITY) this.#questions.delete(nonce);
    this.#answeredAt = now;
    const { source, sentAt: askedAt } = question;
    const startedAt = askedAt - Math.max(0, ageMs);
    const expectedAt = now + (renewsInMs || OVERDUE_INTERVAL_MS);
    const answer = { source, askedAt, startedAt, expectedAt, configuration };
    if (!this.#ports.hasConfiguration(configuration)) {
      this.#deferred.set(source.id, answer);
      return;
    }
    this.#deferred.delete(source.id);
    if (ageMs <= GOOD_AGE_MS) this.#recordGoodSource(source);
    this.#acceptAnswer(answer);
  }

  /** An answer counts as soon as the configuration that it is about is in force. */
  #applyDeferred(): void {
    [...this.#deferred.values()]
      .filter(({ configuration }) => this.#ports.hasConfiguration(configuration))
      .forEach((answer) => {
        this.#deferred.delete(answer.source.id);
        this.#acceptAnswer(answer);
      });
  }

  #acceptAnswer({ source, askedAt, startedAt, expectedAt, configuration }: DeferredAnswer): void {
    const { lease, clock } = this.#ports;
    const isWitness = startedAt > Number.NEGATIVE_INFINITY;
    if (isWitness) lease.recordConfirmation(startedAt, expectedAt);
    const provenEra = isWitness ? computeProvenEra(configuration) : undefined;
    this.#corroboration.recordAnswer(source.id, askedAt, provenEra);
    this.#applyProvenRead();
    if (clock.now() - startedAt > GOOD_AGE_MS) return;
    this.#finishRound(this.#computeNextRoundAt(expectedAt));
  }

  /** An own read counts as soon as other daemons have corroborated it. */
  #applyProvenRead(): void {
    const read = this.#corroboration.takeProvenRead();
    if (read) this.#recordProof(read.beganAt, read.expectedAt);
  }

  #recordProof(beganAt: number, expectedAt: number): void {
    this.#ports.lease.recordConfirmation(beganAt, expectedAt);
    this.#finishRound(beganAt + OWN_READ_MS);
  }

  /** A reader of the own data centre is preferred to any other daemon. */
  #recordGoodSource({ id }: LeaseSource): void {
    const { nearReaders } = this.#ports.listSources();
    const isReader = nearReaders.some((one) => one.id === id);
    if (isReader || this.#isAsking) this.#preferredId = id;
  }

  #finishRound(nextRoundAt: number): void {
    this.#isAsking = false;
    this.#failedRounds = 0;
    const now = this.#ports.clock.now();
    const latestAt = this.#corroboration.isWaiting ? now + ANSWER_TIMEOUT_MS : nextRoundAt;
    this.#nextRoundAt = Math.max(Math.min(nextRoundAt, latestAt), now + MIN_INTERVAL_MS);
  }

  #computeNextRoundAt(expectedAt: number): number {
    const { clock, random, lease, isDispatcher } = this.#ports;
    const [intervalMs, spreadMs] = isDispatcher()
      ? [DISPATCHER_INTERVAL_MS, DISPATCHER_SPREAD_MS]
      : [IDLE_INTERVAL_MS, IDLE_SPREAD_MS];
    const isShort = lease.remainingMs < lease.durationMs / 2;
    const longestMs = isShort ? SHORT_INTERVAL_MS : intervalMs;
    return Math.min(expectedAt, clock.now() + longestMs) + random.next() * spreadMs;
  }

  #computeTimeoutMs(): number {
    const quickRounds = this.hasProof ? MAX_QUICK_ROUNDS : MAX_QUICK_START_ROUNDS;
    return this.#failedRounds < quickRounds ? ANSWER_TIMEOUT_MS : RETRY_INTERVAL_MS;
  }

  #ask(now: number): void {
    const { random, send } = this.#ports;
    this.#chooseSources().forEach((source) => {
      const nonce = Math.floor(random.next() * NONCE_RANGE);
      this.#questions.set(nonce, { source, sentAt: now });
      send(nonce, source);
    });
  }

  #chooseSources(): readonly LeaseSource[] {
    const { listSources, random } = this.#ports;
    const unheard = this.#corroboration.isWaiting ? this.#corroboration.listUnheard() : [];
    if (unheard.length > 0) return unheard;
    return chooseLeaseSources(listSources(), this.#failedRounds, this.#preferredId, random);
  }

  #expireQuestions(now: number): void {
    [...this.#questions]
      .filter(([, { sentAt }]) => now - sentAt > QUESTION_LIFETIME_MS)
      .forEach(([nonce]) => this.#questions.delete(nonce));
  }
}
