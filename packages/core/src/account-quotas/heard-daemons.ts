/**
 * Which of the daemons that report the use of accounts are heard. Load pattern: a partition begins
 * while an account floods all daemons, and the membership notices it only seconds later. Dispatchers
 * report several times a second, so their silence shows within half a second.
 */

export type HeardReport = {
  readonly id: string;
  readonly startId: number;
  readonly sequence: number;
};

type HeardDaemon = Omit<HeardReport, 'id'> & { readonly heardAt: number };

/** Two lost reports in a row of a daemon that reports every 150 ms are no silence. */
const MIN_SILENCE_MS = 400;
/** Reports that a daemon may miss before another counts as silent. */
const MISSED_REPORTS = 2.5;
/**
 * After this time a daemon that was never heard is taken for one of the version before, which sends
 * no reports. If it is cut off instead, the membership has noticed it by then.
 */
const FIRST_REPORT_MS = 5000;
/** Datagrams of an earlier start of a daemon do not arrive later than this. */
const OVERTAKEN_MS = 1000;
const FORGET_MS = 600_000;

export class HeardDaemons {
  readonly #daemons = new Map<string, HeardDaemon>();

  #listeningSince: number;

  constructor(now: number) {
    this.#listeningSince = now;
  }

  /** Begins anew, as this daemon may have missed reports. */
  reset(now: number): void {
    this.#daemons.clear();
    this.#listeningSince = now;
  }

  /** Records a report; returns undefined if a newer one was heard, else whether it broke a silence. */
  recordReport(
    { id, startId, sequence }: HeardReport,
    reportIntervalMs: number,
    now: number,
  ): { readonly wasSilent: boolean } | undefined {
    const known = this.#daemons.get(id);
    // After a start with a clock that was set back the number is lower.
    const isRecent = known !== undefined && now < known.heardAt + OVERTAKEN_MS;
    if (isRecent && startId < known.startId) return undefined;
    if (known?.startId === startId && sequence <= known.sequence) return undefined;
    this.#daemons.set(id, { startId, sequence, heardAt: now });
    return { wasSilent: known !== undefined && this.#isSilent(known, reportIntervalMs, now) };
  }

  /** The part of the dispatchers that is heard, this daemon included if it is one, from 0 to 1. */
  computeHeardPart(
    selfId: string,
    dispatcherIds: readonly string[],
    reportIntervalMs: number,
    now: number,
  ): number {
    const others = dispatcherIds.filter((id) => id !== selfId);
    const isStarting = now < this.#listeningSince + FIRST_REPORT_MS;
    const lost = others.filter((id) => {
      const known = this.#daemons.get(id);
      return known ? this.#isSilent(known, reportIntervalMs, now) : isStarting;
    });
    const isDispatcher = others.length < dispatcherIds.length;
    const hasHeardAny = others.some((id) => this.#daemons.has(id));
    // If all dispatchers are of the version before, daemons like this one do not know each other.
    const own = isDispatcher || !hasHeardAny ? 1 : 0;
    const heard = hasHeardAny || isDispatcher ? others.length - lost.length : 0;
    return (own + heard) / (others.length + own);
  }

  /** Drops daemons that have not been heard for long; returns the ids of the others. */
  prune(now: number): ReadonlySet<string> {
    this.#daemons.forEach(({ heardAt }, id) => {
      if (heardAt < now - FORGET_MS) this.#daemons.delete(id);
    });
    return new Set(this.#daemons.keys());
  }

  #isSilent({ heardAt }: HeardDaemon, reportIntervalMs: number, now: number): boolean {
    return now - heardAt > Math.max(MIN_SILENCE_MS, MISSED_REPORTS * reportIntervalMs);
  }
}
