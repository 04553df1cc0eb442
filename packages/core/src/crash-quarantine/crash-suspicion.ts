/**
 * What is known about one request that was in flight when upstreams ended, and whether it is
 * quarantined for it.
 *
 * Load pattern: upstreams end for reasons of their own, sometimes many at once, and take several
 * requests with them; a request that callers send often is in flight at many of these ends. A request
 * that ends what runs it is in flight at every one of its ends and never succeeds. So two ends count
 * against a request only if it has not succeeded in between, and the ends that follow a success closely
 * count as one incident with no verdict.
 */

/** The end of one start of an upstream, while a request was in flight there. */
export type CrashEvidence = {
  /** Stands for the upstream that ended, and its start as far as it states one. */
  readonly crash: number;
  /** In milliseconds of the daemon's clock. */
  readonly at: number;
  /** Probability that this request was the cause, from 0 to 1. */
  readonly blame: number;
};

export type CrashSuspicion = {
  readonly crashes: readonly CrashEvidence[];
  /** When the request was last answered successfully; undefined if it is not known to have been. */
  readonly succeededAt: number | undefined;
  /** When it was last sent to find out whether it still ends upstreams. */
  readonly triedAt: number | undefined;
};

export const NO_SUSPICION: CrashSuspicion = {
  crashes: [],
  succeededAt: undefined,
  triedAt: undefined,
};

/** Ends at which a request must have been in flight before it is quarantined. */
export const MIN_CRASHES = 2;
/** Sum of the blame above which a request is quarantined; one end alone never reaches it. */
const MIN_BLAME = 1;
/** How long a success speaks for a request. */
export const SUCCESS_MEMORY_MS = 60_000;
/** Upstreams that end for one common reason do so within this time. */
const INCIDENT_MS = 500;
/** Time without the request before it is tried once more, by the number of ends beyond the first two. */
const QUARANTINE_MS: readonly number[] = [60_000, 600_000, 3_600_000];

/** Reports of one end differ by less than this; a start takes longer. */
const SAME_END_MS = 1000;
/** Reports of one trial differ by less than this. */
const SAME_TRIAL_MS = 1000;

/** Lists the ends that count: those after the last success, without the incident that follows it. */
export function listCountedCrashes({
  crashes,
  succeededAt,
}: CrashSuspicion): readonly CrashEvidence[] {
  if (succeededAt === undefined) return crashes;
  const later = crashes.filter(({ at }) => at > succeededAt);
  const firstAt = Math.min(...later.map(({ at }) => at));
  if (firstAt - succeededAt > SUCCESS_MEMORY_MS) return later;
  return later.filter(({ at }) => at > firstAt + INCIDENT_MS);
}

export function sumBlame(crashes: readonly CrashEvidence[]): number {
  return crashes.reduce((sum, { blame }) => sum + blame, 0);
}

/**
 * Computes when a quarantined request may be tried again, in milliseconds of the daemon's clock;
 * undefined if it is not quarantined.
 */
export function computeReleaseAt(suspicion: CrashSuspicion): number | undefined {
  const counted = listCountedCrashes(suspicion);
  if (counted.length < MIN_CRASHES || sumBlame(counted) <= MIN_BLAME) return undefined;
  const step = Math.min(counted.length - MIN_CRASHES, QUARANTINE_MS.length - 1);
  const { triedAt = Number.NEGATIVE_INFINITY } = suspicion;
  return Math.max(triedAt, ...counted.map(({ at }) => at)) + (QUARANTINE_MS[step] ?? 0);
}

function computeLatest(left: number | undefined, right: number | undefined): number | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return Math.max(left, right);
}

/**
 * The later of two trials. Ages of reports are inexact by the time that they travel, so a trial that
 * seems only a little later is the same one.
 */
function computeLatestTrial(
  known: number | undefined,
  added: number | undefined,
): number | undefined {
  if (known === undefined || added === undefined) return known ?? added;
  return added > known + SAME_TRIAL_MS ? added : known;
}

/** An upstream that comes back may state nothing that tells its starts apart. */
function isSameEnd(left: CrashEvidence, right: CrashEvidence): boolean {
  return left.crash === right.crash && Math.abs(left.at - right.at) < SAME_END_MS;
}

/** Merges what another daemon knows into what is known here. */
export function mergeSuspicions(known: CrashSuspicion, added: CrashSuspicion): CrashSuspicion {
  const crashes = known.crashes.map((one) => {
    const same = added.crashes.find((other) => isSameEnd(one, other));
    return same && same.blame > one.blame ? { ...one, blame: same.blame } : one;
  });
  return {
    crashes: [
      ...crashes,
      ...added.crashes.filter((one) => !known.crashes.some((other) => isSameEnd(one, other))),
    ],
    succeededAt: computeLatest(known.succeededAt, added.succeededAt),
    triedAt: computeLatestTrial(known.triedAt, added.triedAt),
  };
}
