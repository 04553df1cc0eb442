/**
 * Chooses the dispatchers: the daemons that callers are sent to.
 *
 * Load pattern: VMs with unequal CPUs and links, and traffic peaks that exceed the capacity of one
 * VM. Every daemon can serve every request, but a few dispatchers work better than many: each of
 * them sees more traffic of every upstream, so a gray failure is detected after fewer requests, and
 * fewer connections are opened.
 *
 * Daemons are ranked by capacity, then by uptime. As many are chosen as the load of the data centre
 * needs. Daemons with the same view of the fleet choose the same dispatchers without coordination.
 * Callers are distributed over the dispatchers in proportion to capacity.
 */
import type { HashText } from '../runtime/index.js';

export type DispatcherCandidate = {
  readonly id: string;
  readonly dataCentre: string;
  /** Start of the process in Unix milliseconds. */
  readonly incarnation: number;
  /** Requests per second that it can handle. */
  readonly capacity: number;
  /** Requests per second that it handles now, rounded down to a coarse step. */
  readonly load: number;
};

/** Start times are rounded down to this, so that daemons started together are ranked by id. */
const START_TIME_RESOLUTION_MS = 2000;
/** Share of their capacity that dispatchers may use; the rest is headroom for traffic peaks. */
const MAX_UTILIZATION = 0.7;
/** VMs with less capacity answer more slowly, so they are added only when the others are full. */
const MAX_UTILIZATION_BEFORE_WEAKER = 1;
/** One more than needed, so that a caller can fail over if the first does not answer. */
const DISPATCHERS_PER_CALLER = 2;
const HASH_RANGE = 2 ** 32;

function compareCandidates(left: DispatcherCandidate, right: DispatcherCandidate): number {
  if (left.capacity !== right.capacity) return right.capacity - left.capacity;
  const leftStart = Math.floor(left.incarnation / START_TIME_RESOLUTION_MS);
  const rightStart = Math.floor(right.incarnation / START_TIME_RESOLUTION_MS);
  if (leftStart !== rightStart) return leftStart - rightStart;
  return left.id < right.id ? -1 : 1;
}

/** Ranks the daemons of a data centre by preference as dispatchers, best first. */
export function rankDispatchers<Candidate extends DispatcherCandidate>(
  candidates: readonly Candidate[],
  dataCentre: string,
): readonly Candidate[] {
  return candidates
    .filter((candidate) => candidate.dataCentre === dataCentre)
    .sort(compareCandidates);
}

/** Requests per second that the chosen dispatchers may handle before the next one is added. */
function computeUsableCapacity(
  chosen: readonly DispatcherCandidate[],
  next: DispatcherCandidate,
): number {
  const utilization = chosen.some(({ capacity }) => capacity > next.capacity)
    ? MAX_UTILIZATION_BEFORE_WEAKER
    : MAX_UTILIZATION;
  return chosen.reduce((sum, { capacity }) => sum + capacity * utilization, 0);
}

function sumLoad(candidates: readonly DispatcherCandidate[]): number {
  return candidates.reduce((sum, { load }) => sum + load, 0);
}

/**
 * Chooses the dispatchers of a data centre, best first: at least `minCount`, and as many as are
 * needed for `demand` requests per second. The default demand is the summed load of the candidates.
 */
export function chooseDispatchers<Candidate extends DispatcherCandidate>(
  candidates: readonly Candidate[],
  dataCentre: string,
  minCount: number,
  demand?: number,
): readonly Candidate[] {
  const ranked = rankDispatchers(candidates, dataCentre);
  const requiredRate = demand ?? sumLoad(ranked);
  return ranked.reduce<readonly Candidate[]>((chosen, candidate) => {
    if (chosen.length >= minCount && computeUsableCapacity(chosen, candidate) >= requiredRate)
      return chosen;
    return [...chosen, candidate];
  }, []);
}

/** Chooses the dispatchers of a data centre, or those of all data centres if it has none. */
export function chooseDispatchersWithFallback<Candidate extends DispatcherCandidate>(
  candidates: readonly Candidate[],
  dataCentre: string,
  minCount: number,
): readonly Candidate[] {
  const local = chooseDispatchers(candidates, dataCentre, minCount);
  if (local.length > 0) return local;
  const dataCentres = [...new Set(candidates.map((candidate) => candidate.dataCentre))];
  return dataCentres.flatMap((name) => chooseDispatchers(candidates, name, minCount));
}

/**
 * Score of weighted rendezvous hashing: the share of callers for which a dispatcher scores highest
 * is proportional to its capacity.
 */
function computeRendezvousScore(
  id: string,
  capacity: number,
  caller: string,
  hash: HashText,
): number {
  const uniform = (hash(`${caller}|${id}`) + 1) / (HASH_RANGE + 1);
  return Math.log(uniform) / capacity;
}

/**
 * Chooses the dispatchers for one caller, best first. A caller keeps its dispatchers while they are
 * available, and each dispatcher gets callers in proportion to its capacity.
 */
export function chooseDispatchersForCaller<Candidate extends DispatcherCandidate>(
  dispatchers: readonly Candidate[],
  caller: string,
  hash: HashText,
): readonly Candidate[] {
  if (dispatchers.length <= DISPATCHERS_PER_CALLER) return dispatchers;
  return dispatchers
    .map((dispatcher) => ({
      dispatcher,
      score: computeRendezvousScore(dispatcher.id, dispatcher.capacity, caller, hash),
    }))
    .sort((left, right) => right.score - left.score)
    .slice(0, DISPATCHERS_PER_CALLER)
    .map(({ dispatcher }) => dispatcher);
}
