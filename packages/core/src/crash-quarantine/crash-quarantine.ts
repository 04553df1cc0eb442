/**
 * Decides which requests are kept from upstreams because they end what runs them. Each daemon of the
 * fleet holds one; what they know is exchanged and merged, so that a request recognised at one daemon
 * is refused at all of them.
 *
 * A quarantined request is refused for a while and then tried once by one daemon of the fleet. If it
 * succeeds, it is released everywhere; if not, it is refused for longer. Memory is bounded.
 */
import type { Clock } from '../runtime/index.js';
import {
  computeReleaseAt,
  listCountedCrashes,
  mergeSuspicions,
  NO_SUSPICION,
  SUCCESS_MEMORY_MS,
  sumBlame,
} from './crash-suspicion.js';
import type { CrashEvidence, CrashSuspicion } from './crash-suspicion.js';

/** What is known about one request, by its fingerprint. */
export type SuspectRequest = CrashSuspicion & { readonly fingerprint: string };

/** Whether a request may be sent to an upstream. */
export type QuarantineVerdict =
  | { readonly kind: 'allowed' }
  /** It is quarantined, and may be sent once to find out whether it still ends upstreams. */
  | { readonly kind: 'trial' }
  | { readonly kind: 'refused'; readonly retryAfterMs: number };

/**
 * What a report of another daemon did: nothing that was not known, an end or a trial was learned, or
 * this daemon knows of a success that refutes it.
 */
export type ReportEffect = 'known' | 'learned' | 'refuted';

/** A change of the quarantine, with the evidence for the log. */
export type QuarantineChange = {
  readonly fingerprint: string;
  readonly change: 'quarantined' | 'released';
  readonly crashes: readonly CrashEvidence[];
};

export type CrashQuarantineDependencies = {
  readonly clock: Clock;
  /** Whether this daemon is the one that may try a request so long after its quarantine ended. */
  readonly mayTry: (fingerprint: string, sinceReleaseMs: number) => boolean;
  readonly onChange: (change: QuarantineChange) => void;
};

const MAX_SUSPECTS = 512;
const MAX_SUCCESSES = 4096;
const MAX_CRASHES_PER_REQUEST = 8;
/** Suspicion is kept for this long after the last crash or trial. */
const SUSPICION_MEMORY_MS = 2 * 3_600_000;
/** Prior weight of each request in flight at a crash, in crashes. */
const PRIOR_BLAME = 0.1;
/**
 * Blame for an end that has a common cause with others, unless requests are that cause. It takes three
 * such ends to quarantine a request.
 */
const COMMON_CAUSE_BLAME = 0.5;
/** Ends with a common cause count against a request once in this time, however often it was retried. */
const COMMON_CAUSE_GAP_MS = 2000;
/** How long changes are reported, for daemons that have started and for messages that were lost. */
const REPORT_MS = 10_000;
/** How soon to come back where another daemon is to try the request. */
const TRIAL_RETRY_MS = 5000;

type Suspect = {
  readonly suspicion: CrashSuspicion;
  /** When something new was learned about it. */
  readonly changedAt: number;
};

function getLastAt({ crashes, triedAt = Number.NEGATIVE_INFINITY }: CrashSuspicion): number {
  return Math.max(triedAt, ...crashes.map(({ at }) => at));
}

export class CrashQuarantine {
  readonly #dependencies: CrashQuarantineDependencies;

  readonly #suspects = new Map<string, Suspect>();

  /** When requests last succeeded, the least recent first. */
  readonly #successes = new Map<string, number>();

  constructor(dependencies: CrashQuarantineDependencies) {
    this.#dependencies = dependencies;
  }

  /** Number of quarantined requests. */
  get size(): number {
    return this.#listRows().filter((one) => computeReleaseAt(one) !== undefined).length;
  }

  /** What other daemons should know: quarantined requests, and what has changed lately. */
  listReportable(): readonly SuspectRequest[] {
    const now = this.#dependencies.clock.now();
    return this.#listRows().filter(
      (one) =>
        computeReleaseAt(one) !== undefined ||
        now - (this.#suspects.get(one.fingerprint)?.changedAt ?? 0) < REPORT_MS,
    );
  }

  /** Whether an upstream has ended with the request since its last success. */
  isSuspect(fingerprint: string): boolean {
    return this.#listCounted(fingerprint).length > 0;
  }

  /** Decides about sending a request now. */
  judge(fingerprint: string): QuarantineVerdict {
    const suspect = this.#suspects.get(fingerprint);
    const releaseAt = suspect && computeReleaseAt(suspect.suspicion);
    if (releaseAt === undefined) return { kind: 'allowed' };
    const sinceReleaseMs = this.#dependencies.clock.now() - releaseAt;
    if (sinceReleaseMs < 0) return { kind: 'refused', retryAfterMs: -sinceReleaseMs };
    if (this.#dependencies.mayTry(fingerprint, sinceReleaseMs)) return { kind: 'trial' };
    return { kind: 'refused', retryAfterMs: TRIAL_RETRY_MS };
  }

  /** Records that a quarantined request is sent as a trial. */
  recordTrial(fingerprint: string): void {
    this.#put(fingerprint, { ...NO_SUSPICION, triedAt: this.#dependencies.clock.now() });
  }

  /** Records a successful answer; returns whether that clears the request of suspicion. */
  recordSuccess(fingerprint: string): boolean {
    const now = this.#dependencies.clock.now();
    this.#successes.delete(fingerprint);
    this.#successes.set(fingerprint, now);
    if (this.#successes.size > MAX_SUCCESSES) this.#evictSuccess();
    if (!this.isSuspect(fingerprint)) return false;
    this.#put(fingerprint, { ...NO_SUSPICION, succeededAt: now });
    return true;
  }

  /**
   * Records the end of an upstream's start with requests in flight. The blame is shared among them
   * and `othersInFlight` unknown ones; a request that was in flight at earlier ends bears more of it.
   */
  recordCrash(crash: number, fingerprints: readonly string[], othersInFlight: number): void {
    this.#recordCrash(crash, fingerprints, othersInFlight, 1);
  }

  /**
   * Records the same where other upstreams ended at that moment. What ended them together is no
   * request as a rule, but such a cause does not find the same request time after time.
   */
  recordCommonCrash(crash: number, fingerprints: readonly string[], othersInFlight: number): void {
    const latest = this.#dependencies.clock.now() - COMMON_CAUSE_GAP_MS;
    const blamed = fingerprints.filter((fingerprint) =>
      this.#listCounted(fingerprint).every(({ at }) => at < latest),
    );
    const others = othersInFlight + fingerprints.length - blamed.length;
    this.#recordCrash(crash, blamed, others, COMMON_CAUSE_BLAME);
  }

  #recordCrash(
    crash: number,
    fingerprints: readonly string[],
    othersInFlight: number,
    sharedBlame: number,
  ): void {
    const at = this.#dependencies.clock.now();
    const weights = fingerprints.map(
      (fingerprint) => sumBlame(this.#listCounted(fingerprint)) + PRIOR_BLAME,
    );
    const total =
      weights.reduce((sum, weight) => sum + weight, 0) + Math.max(0, othersInFlight) * PRIOR_BLAME;
    fingerprints.forEach((fingerprint, index) => {
      const blame = (sharedBlame * (weights[index] ?? 0)) / total;
      this.#put(fingerprint, { ...NO_SUSPICION, crashes: [{ crash, at, blame }] });
    });
  }

  /** Takes in what another daemon knows. */
  applyReport({ fingerprint, ...reported }: SuspectRequest): ReportEffect {
    if (reported.crashes.length === 0 && !this.#suspects.has(fingerprint)) return 'known';
    const hasChanged = this.#put(fingerprint, reported);
    const { succeededAt } = this.#suspects.get(fingerprint)?.suspicion ?? NO_SUSPICION;
    const isRefuted =
      listCountedCrashes(reported).length > 0 &&
      listCountedCrashes({ ...reported, succeededAt }).length === 0;
    if (isRefuted) return 'refuted';
    return hasChanged ? 'learned' : 'known';
  }

  /** Forgets what is out of date; to be called regularly. */
  runTick(): void {
    const now = this.#dependencies.clock.now();
    this.#suspects.forEach(({ suspicion }, fingerprint) => {
      if (getLastAt(suspicion) < now - SUSPICION_MEMORY_MS) this.#suspects.delete(fingerprint);
    });
    this.#successes.forEach((at, fingerprint) => {
      if (at < now - SUCCESS_MEMORY_MS) this.#successes.delete(fingerprint);
    });
  }

  #listRows(): readonly SuspectRequest[] {
    return [...this.#suspects].map(([fingerprint, { suspicion }]) => ({
      fingerprint,
      ...suspicion,
    }));
  }

  #listCounted(fingerprint: string): readonly CrashEvidence[] {
    const suspect = this.#suspects.get(fingerprint);
    return suspect ? listCountedCrashes(suspect.suspicion) : [];
  }

  /** Merges something new into what is known; returns whether an end or a trial was new. */
  #put(fingerprint: string, added: CrashSuspicion): boolean {
    const suspect = this.#suspects.get(fingerprint);
    const succeededAt = this.#successes.get(fingerprint);
    const previous = mergeSuspicions(suspect?.suspicion ?? NO_SUSPICION, {
      ...NO_SUSPICION,
      succeededAt,
    });
    const merged = mergeSuspicions(previous, added);
    const isNew =
      merged.crashes.length > previous.crashes.length || merged.triedAt !== previous.triedAt;
    const crashes = [...merged.crashes]
      .sort((left, right) => left.at - right.at)
      .slice(-MAX_CRASHES_PER_REQUEST);
    const suspicion = { ...merged, crashes };
    const hasCleared = this.isSuspect(fingerprint) && listCountedCrashes(suspicion).length === 0;
    const changedAt =
      isNew || hasCleared || !suspect ? this.#dependencies.clock.now() : suspect.changedAt;
    this.#suspects.set(fingerprint, { suspicion, changedAt });
    if (this.#suspects.size > MAX_SUSPECTS) this.#evictSuspect();
    this.#notifyChange(fingerprint, suspect?.suspicion ?? NO_SUSPICION, suspicion);
    return isNew;
  }

  #notifyChange(fingerprint: string, previous: CrashSuspicion, updated: CrashSuspicion): void {
    const was = computeReleaseAt(previous) !== undefined;
    const is = computeReleaseAt(updated) !== undefined;
    if (was === is) return;
    this.#dependencies.onChange({
      fingerprint,
      change: is ? 'quarantined' : 'released',
      crashes: updated.crashes,
    });
  }

  #evictSuccess(): void {
    const [oldest] = this.#successes.keys();
    if (oldest !== undefined) this.#successes.delete(oldest);
  }

  /** Drops the request that was longest without a crash, one that is not quarantined first. */
  #evictSuspect(): void {
    const ranked = this.#listRows().map((one) => ({
      fingerprint: one.fingerprint,
      isQuarantined: computeReleaseAt(one) !== undefined,
      lastAt: getLastAt(one),
    }));
    const [first] = ranked.sort(
      (left, right) =>
        Number(left.isQuarantined) - Number(right.isQuarantined) || left.lastAt - right.lastAt,
    );
    if (first) this.#suspects.delete(first.fingerprint);
  }
}
