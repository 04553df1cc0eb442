/**
 * Which daemons callers are sent to.
 *
 * Load pattern: VMs of unequal processors and links, waves that exceed what one of them can carry.
 * Every daemon can serve every request, but a few dispatchers do it better than many: each sees
 * more of every upstream, so that a gray failure is found by fewer requests, and fewer connections
 * are opened. The strongest VMs of a data centre come first, of these the ones that have run the
 * longest, and as many are taken as the requests of the data centre need; all daemons with the same
 * view agree without a word. Callers are spread over them by what each can carry.
 */
import type { HashText } from '../runtime/index.js';

export type DispatcherCandidate = {
  readonly id: string;
  readonly dataCentre: string;
  /** Start of the process; ties are broken by id. */
  readonly incarnation: number;
  /** Requests a second that it can carry. */
  readonly capacity: number;
  /** Requests a second that it carries now, in coarse steps. */
  readonly load: number;
};

/** Starts closer together than this count as one, so that a common start has a stable order. */
const START_GRAIN_MS = 2000;
/** Share of their capacity up to which dispatchers are loaded; a wave may come on top. */
const FULL_SHARE = 0.7;
/** Weaker VMs, whose answers take longer, are called on only once the stronger are full. */
const FULL_SHARE_BEFORE_WEAKER = 1;
/** Addresses in an answer: one more than needed, for a caller whose first does not answer. */
const CALLER_CHOICES = 2;
const HASH_RANGE = 2 ** 32;

function compareCandidates(left: DispatcherCandidate, right: DispatcherCandidate): number {
  if (left.capacity !== right.capacity) return right.capacity - left.capacity;
  const leftStart = Math.floor(left.incarnation / START_GRAIN_MS);
  const rightStart = Math.floor(right.incarnation / START_GRAIN_MS);
  if (leftStart !== rightStart) return leftStart - rightStart;
  return left.id < right.id ? -1 : 1;
}

/** Ranks the daemons of a data centre, the one that is used first at the head. */
export function rankDispatchers<Candidate extends DispatcherCandidate>(
  candidates: readonly Candidate[],
  dataCentre: string,
): readonly Candidate[] {
  return candidates
    .filter((candidate) => candidate.dataCentre === dataCentre)
    .sort(compareCandidates);
}

/** What the chosen carry before a further candidate is called on. */
function computeCarried(chosen: readonly DispatcherCandidate[], next: DispatcherCandidate): number {
  const share = chosen.some(({ capacity }) => capacity > next.capacity)
    ? FULL_SHARE_BEFORE_WEAKER
    : FULL_SHARE;
  return chosen.reduce((sum, { capacity }) => sum + capacity * share, 0);
}

function sumLoad(candidates: readonly DispatcherCandidate[]): number {
  return candidates.reduce((sum, { load }) => sum + load, 0);
}

/**
 * Chooses the dispatchers of a data centre, the first in line at the head: `minCount`, or as many as
 * carry `demand` requests a second, by default what the candidates say that they carry.
 */
export function chooseDispatchers<Candidate extends DispatcherCandidate>(
  candidates: readonly Candidate[],
  dataCentre: string,
  minCount: number,
  demand?: number,
): readonly Candidate[] {
  const ranked = rankDispatchers(candidates, dataCentre);
  const wanted = demand ?? sumLoad(ranked);
  return ranked.reduce<readonly Candidate[]>((chosen, candidate) => {
    if (chosen.length >= minCount && computeCarried(chosen, candidate) >= wanted) return chosen;
    return [...chosen, candidate];
  }, []);
}

/** The dispatchers that callers of a data centre use: their own, or else those of all others. */
export function chooseForCallers<Candidate extends DispatcherCandidate>(
  candidates: readonly Candidate[],
  dataCentre: string,
  minCount: number,
): readonly Candidate[] {
  const near = chooseDispatchers(candidates, dataCentre, minCount);
  if (near.length > 0) return near;
  const others = [...new Set(candidates.map((candidate) => candidate.dataCentre))];
  return others.flatMap((other) => chooseDispatchers(candidates, other, minCount));
}

/** Draws like a die with as many faces as the capacity has units: the highest throw wins. */
function computeDraw(id: string, capacity: number, caller: string, hash: HashText): number {
  const share = (hash(`${caller}|${id}`) + 1) / (HASH_RANGE + 1);
  return Math.log(share) / capacity;
}

/**
 * Chooses, of the dispatchers for callers, those that one caller uses: always the same while they
 * are there, and each by as many callers as its capacity allows.
 */
export function chooseForCaller<Candidate extends DispatcherCandidate>(
  dispatchers: readonly Candidate[],
  caller: string,
  hash: HashText,
): readonly Candidate[] {
  if (dispatchers.length <= CALLER_CHOICES) return dispatchers;
  return dispatchers
    .map((dispatcher) => ({
      dispatcher,
      draw: computeDraw(dispatcher.id, dispatcher.capacity, caller, hash),
    }))
    .sort((left, right) => right.draw - left.draw)
    .slice(0, CALLER_CHOICES)
    .map(({ dispatcher }) => dispatcher);
}
