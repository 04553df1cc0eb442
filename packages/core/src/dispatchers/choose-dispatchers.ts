/**
 * Which daemons callers are sent to.
 *
 * Every daemon can serve every request, but a few dispatchers do it better than many: each sees
 * more of every upstream, so that a gray failure is found by fewer requests, and fewer connections
 * are opened. The daemons of a data centre that have run the longest are its dispatchers: all
 * daemons with the same view agree without a word, and one that has just started, and is still
 * slow, comes last.
 */

export type DispatcherCandidate = {
  readonly id: string;
  readonly dataCentre: string;
  /** Start of the process; ties are broken by id. */
  readonly incarnation: number;
};

/** Starts closer together than this count as one, so that a common start has a stable order. */
const START_GRAIN_MS = 2000;

function compareCandidates(left: DispatcherCandidate, right: DispatcherCandidate): number {
  const leftStart = Math.floor(left.incarnation / START_GRAIN_MS);
  const rightStart = Math.floor(right.incarnation / START_GRAIN_MS);
  if (leftStart !== rightStart) return leftStart - rightStart;
  return left.id < right.id ? -1 : 1;
}

/** Chooses the dispatchers of a data centre, the first in line at the head. */
export function chooseDispatchers<Candidate extends DispatcherCandidate>(
  candidates: readonly Candidate[],
  dataCentre: string,
  count: number,
): readonly Candidate[] {
  return candidates
    .filter((candidate) => candidate.dataCentre === dataCentre)
    .sort(compareCandidates)
    .slice(0, count);
}

/** The dispatchers that callers of a data centre use: their own, or else those of all others. */
export function chooseForCallers<Candidate extends DispatcherCandidate>(
  candidates: readonly Candidate[],
  dataCentre: string,
  count: number,
): readonly Candidate[] {
  const near = chooseDispatchers(candidates, dataCentre, count);
  if (near.length > 0) return near;
  const others = [...new Set(candidates.map((candidate) => candidate.dataCentre))];
  return others.flatMap((other) => chooseDispatchers(candidates, other, count));
}
