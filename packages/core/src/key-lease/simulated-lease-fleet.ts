/**
 * A simulated fleet whose daemons hold key leases, for tests: a store that may come back from an older
 * copy, readers that watch it, daemons that learn of configurations from readers and that start again,
 * and a network that loses, delays and reorders datagrams.
 * Every version of the configuration removes a key of the version before.
 */
import { createRandom } from '../runtime/index.js';
import type { Clock, RandomSource } from '../runtime/index.js';
import { AgingClock } from './aging-clock.js';
import { computeKeyLeaseSettings, KeyLease } from './key-lease.js';
import { LeaseRenewal } from './lease-renewal.js';
import type { LeaseSources } from './types.js';

export const REVOCATION_MS = 5000;

const STEP_MS = 10;
const TICK_MS = 50;
const POLL_MS = 400;
const WATCH_MS = 700;
const STORE_DELAY_MS = 5;
const STORE_TIMEOUT_MS = 1200;
const MAX_STORE_RETRY_MS = 1000;
const DEFAULT_MAX_DELAY_MS = 10;
/** The operator writes again within this time what a restore has lost. */
const MAX_REWRITE_MS = 8000;
/** A few datagrams arrive this late, behind later ones. */
const MAX_LATE_MS = 3000;
/** Daemons of each data centre that read the store if those before them cannot. */
const MAX_SUBSTITUTES = 3;

export type SimulatedLeaseSettings = {
  /** Number of daemons of each data centre. */
  readonly sizes: readonly number[];
  readonly seed: number;
  readonly lossProbability: number;
  readonly lateProbability: number;
  /** Longest delay of the other datagrams. */
  readonly maxDelayMs?: number;
};

export type SimulatedLeaseDaemon = {
  readonly id: string;
  readonly dataCentre: number;
  readonly rank: number;
  lease: KeyLease;
  renewal: LeaseRenewal;
  readonly clock: Clock;
  /** Version of its configuration; 0 before the first one. */
  version: number;
  /** Newest era of the store that it knows; 0 before the first one. */
  era: number;
  /** How often it has started. */
  starts: number;
  isCutFromStore: boolean;
  /** Daemons of different groups do not reach each other. */
  group: number;
  isSuspended: boolean;
  /** Whether datagrams that arrive while it is suspended are lost, as those of a VM are. */
  isDeaf: boolean;
  /** By how much its clocks differ from the time of the simulation. */
  monotonicOffset: number;
  wallOffset: number;
  isReading: boolean;
};

export class SimulatedLeaseFleet {
  readonly daemons: readonly SimulatedLeaseDaemon[];

  now = 0;

  isStoreSilent = false;

  /** Whether the store acknowledges nothing either. */
  #isAway = false;

  /** Questions sent to daemons of another data centre, and all. */
  readonly questions = { far: 0, all: 0 };

  /** Times at which the store acknowledged versions 1, 2 and so on. */
  #acknowledgedAt: readonly number[] = [0];

  /** What the store holds. */
  #stored = { version: 1, era: 1 };

  readonly #settings: SimulatedLeaseSettings;

  readonly #random: RandomSource;

  readonly #byId: ReadonlyMap<string, SimulatedLeaseDaemon>;

  readonly #sources = new Map<string, LeaseSources>();

  /** What happens at each step. */
  readonly #events = new Map<number, (() => void)[]>();

  constructor(settings: SimulatedLeaseSettings) {
    this.#settings = settings;
    this.#random = createRandom(settings.seed);
    this.daemons = settings.sizes.flatMap((size, dataCentre) =>
      Array.from({ length: size }, (_, rank) => this.#createDaemon(dataCentre, rank)),
    );
    this.#byId = new Map(this.daemons.map((one) => [one.id, one]));
    this.daemons.forEach((daemon) => this.#startTimers(daemon));
  }

  get version(): number {
    return this.#acknowledgedAt.length;
  }

  findDaemon(dataCentre: number, rank: number): SimulatedLeaseDaemon {
    const found = this.daemons.find((one) => one.dataCentre === dataCentre && one.rank === rank);
    if (!found) throw new Error('there is no such daemon');
    return found;
  }

  /** The store acknowledges a configuration without a key of the one before. */
  publish(): void {
    if (this.#isAway) return;
    this.#acknowledgedAt = [...this.#acknowledgedAt, this.now];
    this.#stored = { ...this.#stored, version: this.version };
  }

  /**
   * The store is away for some time and comes back from a copy with an earlier version; the operator
   * writes the newest one again later. Does nothing if no daemon of the first data centre, which never
   * start again, knows the newest version: nobody could tell of it.
   */
  restore(awayMs: number, versions: number): void {
    const isKnown = this.daemons.some(
      ({ dataCentre, version }) => dataCentre === 0 && version === this.version,
    );
    if (this.isStoreSilent || !isKnown) return;
    this.isStoreSilent = true;
    this.#isAway = true;
    this.#schedule(awayMs, () => {
      this.isStoreSilent = false;
      this.#isAway = false;
      const version = Math.max(1, this.version - versions);
      this.#stored = { version, era: this.#stored.era + 1 };
    });
    this.#schedule(awayMs + this.#random.next() * MAX_REWRITE_MS, () => {
      this.#stored = { ...this.#stored, version: this.version };
    });
  }

  /** A daemon is gone for some time, and starts again without any knowledge. */
  kill(daemon: SimulatedLeaseDaemon, ms: number): void {
    if (daemon.isSuspended) return;
    Object.assign(daemon, { isSuspended: true, isDeaf: true });
    this.#schedule(ms, () => {
      const starts = daemon.starts + 1;
      Object.assign(daemon, { version: 0, era: 0, starts, isSuspended: false, isReading: false });
      Object.assign(daemon, this.#createLease(daemon));
    });
  }

  /** Suspends a VM, whose monotonic clock then stands still, or stops a process, whose does not. */
  freeze(daemon: SimulatedLeaseDaemon, ms: number, stopsClock = true): void {
    if (daemon.isSuspended) return;
    Object.assign(daemon, { isSuspended: true, isDeaf: stopsClock });
    this.#schedule(ms, () => {
      if (stopsClock) Object.assign(daemon, { monotonicOffset: daemon.monotonicOffset - ms });
      Object.assign(daemon, { isSuspended: false });
    });
  }

  /** Whether a daemon accepts a key so long after the store acknowledged its removal. */
  isAcceptingRemoved({ isSuspended, lease, version }: SimulatedLeaseDaemon): boolean {
    const removedAt = this.#acknowledgedAt[version];
    if (isSuspended || removedAt === undefined || !lease.isValid) return false;
    // Looks are a tick apart; with a bound that is a tick lower none is missed.
    return this.now - removedAt > REVOCATION_MS - TICK_MS;
  }

  /** Lets time pass; `onTick` is called after each tick. */
  runFor(ms: number, onTick: () => void = () => undefined): void {
    Array.from({ length: ms / STEP_MS }).forEach(() => {
      this.now += STEP_MS;
      const events = this.#events.get(this.now) ?? [];
      this.#events.delete(this.now);
      events.forEach((run) => run());
      if (this.now % TICK_MS === 0) onTick();
    });
  }

  #schedule(ms: number, run: () => void): void {
    const at = Math.ceil((this.now + Math.max(ms, 1)) / STEP_MS) * STEP_MS;
    const events = this.#events.get(at);
    if (events) events.push(run);
    else this.#events.set(at, [run]);
  }

  /** Runs at a daemon; while it is suspended, what has arrived waits for it. */
  #scheduleAt(daemon: SimulatedLeaseDaemon, ms: number, run: () => void): void {
    this.#schedule(ms, () => {
      if (daemon.isSuspended) this.#scheduleAt(daemon, STEP_MS, run);
      else run();
    });
  }

  #startTimers(daemon: SimulatedLeaseDaemon): void {
    const repeat = (ms: number, run: () => void, getDelayMs = (): number => ms): void => {
      const runAgain = (): void => {
        run();
        this.#scheduleAt(daemon, getDelayMs(), runAgain);
      };
      this.#scheduleAt(daemon, this.#random.next() * ms, runAgain);
    };
    const runRenewal = (): void => {
      daemon.renewal.runTick();
      if (!daemon.isReading && this.#shouldRead(daemon)) this.#read(daemon);
    };
    repeat(TICK_MS, runRenewal, () => Math.min(TICK_MS, daemon.renewal.idleMs));
    repeat(POLL_MS, () => this.#pollReaders(daemon));
  }

  #shouldRead({ dataCentre, rank }: SimulatedLeaseDaemon): boolean {
    return this.daemons
      .filter((one) => one.dataCentre === dataCentre && one.rank < rank)
      .every((one) => one.rank < MAX_SUBSTITUTES && (one.isCutFromStore || one.isSuspended));
  }

  /** A watch: the answer shows what the store held at some time between the call and the answer. */
  #read(daemon: SimulatedLeaseDaemon): void {
    const beganAt = daemon.clock.now();
    const { starts } = daemon;
    const finish = (): void => {
      if (daemon.starts === starts) Object.assign(daemon, { isReading: false });
    };
    const fail = (): void =>
      this.#scheduleAt(daemon, STORE_TIMEOUT_MS + this.#random.next() * MAX_STORE_RETRY_MS, finish);
    const isOpen = (): boolean => !this.isStoreSilent && !daemon.isCutFromStore;
    Object.assign(daemon, { isReading: true });
    if (!isOpen()) {
      fail();
      return;
    }
    // A store that does not have the revision that a daemon knows answers at once, as to the first read.
    const waitMs = daemon.version === 0 || daemon.era < this.#stored.era ? 0 : WATCH_MS;
    const shownAfterMs = this.#random.next() * waitMs;
    this.#schedule(shownAfterMs, () => {
      const { version, era } = this.#stored;
      if (!isOpen()) fail();
      else {
        this.#scheduleAt(daemon, waitMs - shownAfterMs + STORE_DELAY_MS, () => {
          if (daemon.starts !== starts) return;
          this.#applyNews(daemon, { version, era });
          if (era === daemon.era) daemon.renewal.recordRead(beganAt, era);
          finish();
          if (this.#shouldRead(daemon)) this.#read(daemon);
        });
      }
    });
  }

  #applyNews(
    daemon: SimulatedLeaseDaemon,
    { version, era }: Pick<SimulatedLeaseDaemon, 'version' | 'era'>,
  ): void {
    Object.assign(daemon, {
      version: Math.max(daemon.version, version),
      era: Math.max(daemon.era, era),
    });
  }

  #pollReaders(daemon: SimulatedLeaseDaemon): void {
    this.daemons
      .filter(({ rank, id }) => rank < 2 && id !== daemon.id)
      .filter(({ dataCentre }) => daemon.rank < 2 || dataCentre === daemon.dataCentre)
      .forEach((reader) =>
        this.#send(daemon, reader, () => {
          const { version, era } = reader;
          this.#send(reader, daemon, () => this.#applyNews(daemon, { version, era }));
        }),
      );
  }

  #send(from: SimulatedLeaseDaemon, to: SimulatedLeaseDaemon, run: () => void): void {
    const { lossProbability, lateProbability, maxDelayMs } = this.#settings;
    if (from.group !== to.group || this.#random.next() < lossProbability) return;
    const isLate = this.#random.next() < lateProbability;
    const delayMs =
      this.#random.next() * (isLate ? MAX_LATE_MS : (maxDelayMs ?? DEFAULT_MAX_DELAY_MS));
    this.#schedule(delayMs, () => {
      if (!to.isSuspended) run();
      else if (!to.isDeaf) this.#scheduleAt(to, STEP_MS, run);
    });
  }

  #ask(fromId: string, nonce: number, toId: string): void {
    const [daemon, target] = [this.#byId.get(fromId), this.#byId.get(toId)];
    if (!daemon || !target) return;
    this.questions.all += 1;
    if (target.dataCentre !== daemon.dataCentre) this.questions.far += 1;
    this.#send(daemon, target, () => {
      const answer = target.renewal.buildAnswer(nonce);
      if (answer) {
        this.#send(target, daemon, () => daemon.renewal.handleAnswer(answer, target.id));
      }
    });
  }

  #listSources({ id, dataCentre }: Pick<SimulatedLeaseDaemon, 'id' | 'dataCentre'>): LeaseSources {
    const known = this.#sources.get(id);
    if (known) return known;
    const others = this.daemons
      .filter((one) => one.id !== id)
      .map((one) => ({ id: one.id, address: one.id, rank: one.rank, dataCentre: one.dataCentre }));
    const near = others.filter((one) => one.dataCentre === dataCentre);
    const sources = {
      nearReaders: near.filter(({ rank }) => rank === 0),
      nearOthers: near.filter(({ rank }) => rank > 0),
      farReaders: others.filter((one) => one.dataCentre !== dataCentre && one.rank === 0),
    };
    this.#sources.set(id, sources);
    return sources;
  }

  #createDaemon(dataCentre: number, rank: number): SimulatedLeaseDaemon {
    const state = {
      id: `vm-${dataCentre}-${rank}`,
      dataCentre,
      rank,
      version: 1,
      era: 1,
      starts: 0,
      isCutFromStore: false,
      group: 0,
      isSuspended: false,
      isDeaf: false,
      monotonicOffset: 0,
      wallOffset: 0,
      isReading: false,
    };
    const clock = new AgingClock({ now: () => this.now + state.monotonicOffset }, () =>
      Math.floor(this.now + state.wallOffset),
    );
    const daemon = Object.assign(state, { clock });
    return Object.assign(daemon, this.#createLease(daemon));
  }

  #createLease(
    state: Pick<SimulatedLeaseDaemon, 'id' | 'dataCentre' | 'rank' | 'version' | 'era' | 'clock'>,
  ): Pick<SimulatedLeaseDaemon, 'lease' | 'renewal'> {
    const { clock, rank } = state;
    const lease = new KeyLease(computeKeyLeaseSettings(REVOCATION_MS), clock);
    const renewal = new LeaseRenewal({
      clock,
      random: createRandom(Math.floor(this.#random.next() * 2 ** 31)),
      lease,
      isDispatcher: () => rank < 2,
      listSources: () => this.#listSources(state),
      hasStranger: () => false,
      getConfiguration: () => {
        const { version, era } = state;
        if (version === 0) return undefined;
        const eras = Array.from({ length: era }, (_, index) => [index + 1, 0] as [number, number]);
        return { version, era: 1, revision: version, eras };
      },
      hasConfiguration: ({ version, eras }) =>
        state.version >= version && eras.every(([era]) => era <= state.era),
      send: (nonce, source) => this.#ask(state.id, nonce, source.id),
    });
    return { lease, renewal };
  }
}
