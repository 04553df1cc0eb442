/**
 * A daemon's key lease: what its own calls to the store confirm, the questions and answers between
 * daemons, and what follows for requests that bear keys. Without the setting for strict revocation, or
 * without accounts, no question is sent and keys are accepted without bound.
 */
import {
  AccountTable,
  AgingClock,
  computeKeyLeaseSettings,
  KeyLease,
  LeaseRenewal,
} from '@baobabline/core';
import type {
  Clock,
  LeaseAnswer,
  LeaseSources,
  RandomSource,
  Replica,
  RouteTable,
} from '@baobabline/core';
import type { Log } from '@baobabline/daemon';

import { UNBOUNDED_KEY_VALIDITY } from '../caller-keys/index.js';
import type { KeyValidity } from '../caller-keys/index.js';
import type { FleetSocket } from '../datagrams/index.js';
import type { FleetLinks } from '../fleet/index.js';
import type { ReaderRanks, StoreConfirmations } from '../record-sync/index.js';
import {
  formatLeaseAnswer,
  formatLeaseQuestion,
  parseLeaseAnswer,
  parseLeaseQuestion,
} from './messages.js';

export type FleetKeyLeaseDependencies = {
  readonly clock: Clock;
  /** Wall-clock time in milliseconds; it advances while the VM is suspended. */
  readonly getWallTime: () => number;
  readonly random: RandomSource;
  readonly log: Log;
  readonly selfId: string;
  /** Number of readers per data centre. */
  readonly readerCount: number;
  readonly ranks: ReaderRanks;
  /** Whether the daemon at an address decodes records as this one does. */
  readonly isSource: (address: string) => boolean;
  readonly isStrict: boolean;
  readonly revocationMs: number;
  readonly replica: Replica;
  readonly fleet: Pick<FleetLinks, 'isDispatcher' | 'membership'>;
  /** Called when a daemon that is no known member is first heard, before there is a lease. */
  readonly onStranger: (address: string) => void;
  readonly socket: Pick<FleetSocket, 'setHandler' | 'send'>;
  /** Called when the lease is lost or nearly, unlike those of other daemons, and when that ends. */
  readonly onCutOffChange: () => void;
};

/** Time after which callers try again while the store's configuration cannot be used here. */
const UNUSABLE_RETRY_AFTER_MS = 2000;
/** Above the number of daemons that ask one that starts. */
const MAX_OPEN_QUESTIONS = 1000;
/** Bounds of the time until the next look whether a round is due. */
const MIN_TIMER_MS = 5;
const MAX_TIMER_MS = 200;

/** Time after which a daemon that is still unknown is waited for no longer. */
const STRANGER_MS = 2000;

type Accounts = Pick<RouteTable, 'accounts'>;

type OpenQuestion = { readonly nonce: number; readonly isAnswered: boolean };

export class FleetKeyLease {
  /** Whether this daemon may rely on the keys that it knows. */
  readonly validity: KeyValidity;

  readonly #dependencies: FleetKeyLeaseDependencies;

  readonly #clock: AgingClock;

  readonly #lease: KeyLease;

  readonly #renewal: LeaseRenewal;

  #timer: NodeJS.Timeout | undefined;

  #isStopped = false;

  /** Whether the lease was valid at the last look; undefined before the first one. */
  #wasValid: boolean | undefined;

  #isCutOff = false;

  /** Last questions that came before this daemon had a lease, by the address of the daemon that asked. */
  readonly #openQuestions = new Map<string, OpenQuestion>();

  /** When daemons were last heard that are no known members, by address. */
  readonly #strangers = new Map<string, number>();

  /** The last answers of daemons that have not said how they decode records, by address. */
  readonly #heldAnswers = new Map<string, LeaseAnswer>();

  /** When the lease was last seen to end. */
  #endedAt = 0;

  #pendingAccounts: { readonly accounts: Accounts; readonly configuration: unknown } | undefined;

  constructor(dependencies: FleetKeyLeaseDependencies) {
    this.#dependencies = dependencies;
    const { clock, getWallTime, revocationMs, socket } = dependencies;
    this.#clock = new AgingClock(clock, getWallTime);
    this.#lease = new KeyLease(computeKeyLeaseSettings(revocationMs), this.#clock);
    this.#renewal = this.#createRenewal();
    this.validity = this.#createValidity();
    socket.setHandler('lease-question', (body, sender) => {
      const nonce = parseLeaseQuestion(body);
      if (nonce !== undefined) this.#answer(nonce, sender);
      return nonce !== undefined;
    });
    socket.setHandler('lease-answer', (body, sender) => {
      const answer = parseLeaseAnswer(body);
      if (answer && this.isNeeded) this.#handleAnswer(answer, sender);
      return answer !== undefined;
    });
  }

  /** Whether keys are accepted under a lease: the settings and the configuration call for it. */
  get isNeeded(): boolean {
    const { isStrict, replica } = this.#dependencies;
    return isStrict && replica.configuration?.accounts !== undefined;
  }

  /**
   * Whether the configuration in force may be used: the daemon was shown once that it is the newest, or
   * no lease is needed. Before that it may be one that was replaced and came back with an older store.
   */
  get isConfigurationProven(): boolean {
    return !this.isNeeded || this.#renewal.hasProof;
  }

  /** Whether it has not been shown yet that a configuration is the newest, where that matters. */
  get isWaitingForProof(): boolean {
    const { isStrict, replica } = this.#dependencies;
    const mayBeNeeded = this.isNeeded || replica.configuration === undefined;
    return isStrict && mayBeNeeded && !this.#renewal.hasProof;
  }

  /** Age of the lease in milliseconds; 0 if none is needed. */
  get ageMs(): number {
    return this.isNeeded ? this.#lease.ageMs : 0;
  }

  /** Whether other daemons should be named to callers in the place of this one. */
  get isCutOff(): boolean {
    return this.#isCutOff;
  }

  /**
   * Takes in when the calls of this daemon to the store began. A call that showed a configuration which
   * this daemon cannot use does not confirm the one in force: a key may be missing from the newer one.
   */
  get confirmations(): StoreConfirmations {
    return {
      now: this.#clock.now,
      recordRead: (beganAt, era) => {
        if (!this.#isOutdated) this.#renewal.recordRead(beganAt, era);
      },
    };
  }

  /** Whether the store is known to hold another configuration than the one in force. */
  get #isOutdated(): boolean {
    return this.#dependencies.replica.unusableConfiguration !== undefined;
  }

  /**
   * The accounts by which a waiting request is checked. The lease is about the newest configuration
   * known; a daemon that is not a dispatcher puts its routes in use some time later.
   */
  findAccounts(routes: RouteTable | undefined): Accounts | undefined {
    const { isStrict, replica } = this.#dependencies;
    const { configuration } = replica;
    if (!isStrict || !routes || !configuration) return routes;
    if (configuration === routes.configuration) return routes;
    if (this.#pendingAccounts?.configuration !== configuration) {
      const accounts = configuration.accounts && new AccountTable(configuration.accounts);
      this.#pendingAccounts = { accounts: { accounts }, configuration };
    }
    return this.#pendingAccounts?.accounts;
  }

  /** Asks if a question is due; to be called regularly and after each change of the records. */
  readonly runTick = (): void => {
    clearTimeout(this.#timer);
    if (this.#isStopped) return;
    if (this.isNeeded) {
      this.#handleHeldAnswers();
      this.#renewal.runTick();
      this.#answerAgain();
      const delayMs = Math.min(MAX_TIMER_MS, Math.max(MIN_TIMER_MS, this.#renewal.idleMs));
      this.#timer = setTimeout(this.runTick, delayMs);
    }
    this.#recordChanges();
  };

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  #recordChanges(): void {
    const { log, onCutOffChange } = this.#dependencies;
    const { isNeeded } = this;
    const isValid = !isNeeded || this.#lease.isValid;
    const hadLease = this.#lease.startedAt > Number.NEGATIVE_INFINITY;
    if (this.#wasValid === true && !isValid && hadLease) {
      this.#endedAt = this.#clock.now();
      log.warn('key-lease-ended', { ageMs: Math.round(this.#lease.ageMs) });
    }
    if (this.#wasValid === false && isValid) {
      log.info('key-lease-back', { afterMs: Math.round(this.#clock.now() - this.#endedAt) });
    }
    this.#wasValid = isValid;
    const isCutOff = isNeeded && this.#renewal.isCutOff;
    if (isCutOff === this.#isCutOff) return;
    this.#isCutOff = isCutOff;
    onCutOffChange();
  }

  #createValidity(): KeyValidity {
    const leased: KeyValidity = {
      mayAccept: () => this.#lease.isValid,
      mayReject: () => this.#lease.isFresh,
      getRetryAfterMs: () => this.#renewal.retryAfterMs,
    };
    const validity = this.#dependencies.isStrict ? leased : UNBOUNDED_KEY_VALIDITY;
    return {
      mayAccept: validity.mayAccept,
      mayReject: () => !this.#isOutdated && validity.mayReject(),
      getRetryAfterMs: () =>
        this.#isOutdated ? UNUSABLE_RETRY_AFTER_MS : validity.getRetryAfterMs(),
    };
  }

  /**
   * The first answer of a daemon since this one has started is kept until that daemon has said how it
   * decodes records.
   */
  #handleAnswer(answer: LeaseAnswer, sender: string): void {
    if (this.#dependencies.isSource(sender)) {
      this.#renewal.handleAnswer(answer, sender);
      this.#answerAgain();
    } else if (this.#renewal.hasAsked(answer.nonce, sender)) this.#heldAnswers.set(sender, answer);
  }

  #handleHeldAnswers(): void {
    const held = [...this.#heldAnswers];
    this.#heldAnswers.clear();
    held.forEach(([sender, answer]) => this.#handleAnswer(answer, sender));
  }

  #answer(nonce: number, sender: string): void {
    const answer = this.#renewal.buildAnswer(nonce);
    const isOpen = !this.#renewal.hasProof && this.#openQuestions.size < MAX_OPEN_QUESTIONS;
    if (isOpen) this.#openQuestions.set(sender, { nonce, isAnswered: answer !== undefined });
    if (!answer) return;
    this.#dependencies.socket.send('lease-answer', formatLeaseAnswer(answer), sender);
  }

  /** Answers those that have no answer yet, or were told that there is no lease; they wait for one. */
  #answerAgain(): void {
    const { hasProof } = this.#renewal;
    const due = [...this.#openQuestions].filter(([, { isAnswered }]) => hasProof || !isAnswered);
    if (hasProof) this.#openQuestions.clear();
    due.forEach(([sender, { nonce }]) => this.#answer(nonce, sender));
  }

  /** Records a datagram of any kind. A daemon that this one does not know may know more than it. */
  recordSender(address: string): void {
    if (!this.isWaitingForProof || this.#isKnown(address)) return;
    if (this.#strangers.size >= MAX_OPEN_QUESTIONS) return;
    if (!this.#strangers.has(address)) this.#dependencies.onStranger(address);
    this.#strangers.set(address, this.#clock.now());
  }

  #isKnown(address: string): boolean {
    return this.#dependencies.fleet.membership.members
      .list()
      .some((member) => member.address === address);
  }

  #hasStranger(): boolean {
    const oldest = this.#clock.now() - STRANGER_MS;
    [...this.#strangers]
      .filter(([address, at]) => at < oldest || this.#isKnown(address))
      .forEach(([address]) => this.#strangers.delete(address));
    return this.#strangers.size > 0;
  }

  #listSources(): LeaseSources {
    const { ranks, selfId, readerCount } = this.#dependencies;
    const ranked = ranks.listNear();
    const isOther = ({ id }: { readonly id: string }): boolean => id !== selfId;
    return {
      nearReaders: ranked.slice(0, readerCount).filter(isOther),
      nearOthers: ranked.slice(readerCount).filter(isOther),
      farReaders: ranks.listFarReaders(),
    };
  }

  #createRenewal(): LeaseRenewal {
    const { random, replica, fleet, socket } = this.#dependencies;
    return new LeaseRenewal({
      clock: this.#clock,
      random,
      lease: this.#lease,
      isDispatcher: () => fleet.isDispatcher,
      listSources: () => this.#listSources(),
      hasStranger: () => this.#hasStranger(),
      getConfiguration: () =>
        this.#dependencies.isStrict ? replica.configurationPosition : undefined,
      hasConfiguration: (position) => replica.hasConfiguration(position),
      send: (nonce, { address }) =>
        socket.send('lease-question', formatLeaseQuestion(nonce), address),
    });
  }
}
