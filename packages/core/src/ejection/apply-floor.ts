/**
 * The rule that ejection never takes a service below its floor. It looks only at this daemon's
 * own view, so it holds in every view, divergent ones included.
 */

/** An upstream as the floor sees it. */
export type FloorCandidate = {
  readonly upstreamId: string;
  readonly slots: number;
  /** Suspicion; the worst are ejected first. */
  readonly score: number;
};

export type FloorDecision = {
  readonly ejected: readonly string[];
  /** Suspects that must go on serving. */
  readonly keptByFloor: readonly string[];
};

type Walk = FloorDecision & { readonly capacity: number };

function compareCandidates(left: FloorCandidate, right: FloorCandidate): number {
  return right.score - left.score || (left.upstreamId < right.upstreamId ? -1 : 1);
}

function takeStep(walk: Walk, candidate: FloorCandidate, floorSlots: number): Walk {
  const rest = walk.capacity - candidate.slots;
  if (rest < floorSlots) {
    return { ...walk, keptByFloor: [...walk.keptByFloor, candidate.upstreamId] };
  }
  return { ...walk, capacity: rest, ejected: [...walk.ejected, candidate.upstreamId] };
}

/**
 * Ejects suspects from the worst on, while the slots of the rest stay at or above the floor.
 * `capacity` counts the slots of all upstreams that could serve, the suspects among them.
 */
export function applyFloor(
  suspects: readonly FloorCandidate[],
  capacity: number,
  floorSlots: number,
): FloorDecision {
  const start: Walk = { capacity, ejected: [], keptByFloor: [] };
  const { ejected, keptByFloor } = [...suspects]
    .sort(compareCandidates)
    .reduce((walk, candidate) => takeStep(walk, candidate, floorSlots), start);
  return { ejected, keptByFloor };
}
