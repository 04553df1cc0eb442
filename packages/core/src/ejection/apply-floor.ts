/**
 * Limits ejections so that the remaining upstreams of a service keep at least its floor, a minimum
 * number of slots. The rule uses only this daemon's own view, so it holds at every daemon, even
 * when their views differ.
 */

/** A suspect upstream that may be ejected. */
export type FloorCandidate = {
  readonly upstreamId: string;
  readonly slots: number;
  /** Suspicion score; the highest are ejected first. */
  readonly score: number;
};

export type FloorDecision = {
  readonly ejected: readonly string[];
  /** Suspects that stay in use because the floor needs their slots. */
  readonly keptByFloor: readonly string[];
};

type FloorProgress = FloorDecision & { readonly capacity: number };

function compareCandidates(left: FloorCandidate, right: FloorCandidate): number {
  return right.score - left.score || (left.upstreamId < right.upstreamId ? -1 : 1);
}

function applyToCandidate(
  progress: FloorProgress,
  candidate: FloorCandidate,
  floorSlots: number,
): FloorProgress {
  const remainingSlots = progress.capacity - candidate.slots;
  if (remainingSlots < floorSlots) {
    return { ...progress, keptByFloor: [...progress.keptByFloor, candidate.upstreamId] };
  }
  return {
    ...progress,
    capacity: remainingSlots,
    ejected: [...progress.ejected, candidate.upstreamId],
  };
}

/**
 * Ejects suspects in order of falling score, as long as the remaining slots do not drop below the
 * floor. `capacity` counts the slots of all available upstreams, suspects included.
 */
export function applyFloor(
  suspects: readonly FloorCandidate[],
  capacity: number,
  floorSlots: number,
): FloorDecision {
  const start: FloorProgress = { capacity, ejected: [], keptByFloor: [] };
  const { ejected, keptByFloor } = [...suspects]
    .sort(compareCandidates)
    .reduce((progress, candidate) => applyToCandidate(progress, candidate, floorSlots), start);
  return { ejected, keptByFloor };
}
