/**
 * Chooses the upstream for a request.
 *
 * Load pattern: services run near the limit of their slots, several dispatchers share them, and
 * some upstreams fail a part of their requests at any time.
 *
 * Non-repeatable requests go to trusted upstreams. The longer the queue for these, the higher the
 * failure probability that is accepted at other upstreams with a free slot, since a refused request
 * is lost just like a failed one. Repeatable requests test suspects at intervals. They also use the
 * free slots of suspects if no trusted upstream has one and a failure could still be retried.
 *
 * Among trusted upstreams the one with the lowest load is preferred, and for non-repeatable requests
 * the one with the lowest failure probability. Upstreams of the own (near) data centre are preferred
 * to those of other (far) data centres, since users pay for traffic between data centres.
 */
import type { RandomSource } from '../runtime/index.js';

export type PlacementCandidate = {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Requests in flight at the upstream, from this dispatcher and, as far as known, from others. */
  readonly inFlight: number;
  /** Probability that the upstream fails the request, from 0 to 1. */
  readonly failureProbability: number;
  readonly isSuspect: boolean;
  /** Whether the upstream is a suspect that is due for a test. */
  readonly isTestDue: boolean;
  /** Time until the upstream has warmed up after its start, in milliseconds; 0 if it is warm. */
  readonly warmUpMs: number;
};

export type PlacementRequest = {
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether attempts are left to retry it at another upstream if this one fails. */
  readonly canTryAgain: boolean;
  /** Whether the retry budget has room for a test that fails. */
  readonly mayTest: boolean;
  /** Computes the highest failure probability, 0 to 1, that is still better than to keep waiting. */
  readonly computeMaxFailureProbability: () => number;
  readonly dataCentre: string;
  /** Size of the request's body, which is sent to the other data centre with a far upstream. */
  readonly bodyBytes: number;
};

export type PlacementChoice = {
  readonly upstreamId: string;
  readonly reason: 'trusted' | 'test' | 'risk-accepted' | 'suspect-with-room' | 'all-suspect';
};

/**
 * Cost of a far upstream, as a share of its slots. A near upstream with a free slot is preferred
 * unless a far one is much less likely to fail.
 */
const FAR_PENALTY = 0.9;
/** Body size that costs as much as all slots of a far upstream, so that large bodies stay near. */
const FULL_LOAD_BODY_BYTES = 40_000;
/** Cost of an upstream that is still warming up, as a share of its slots. */
const WARM_UP_PENALTY = 0.5;
/** Cost of a failure probability of 1, in shares of slots, so that even small ones count. */
const FAILURE_WEIGHT = 8;
/** Maximum random cost, so that dispatchers with the same view choose different upstreams. */
const TIE_BREAK_JITTER = 0.05;

function computeCost(
  candidate: PlacementCandidate,
  request: PlacementRequest,
  random: RandomSource,
): number {
  const isNear = candidate.dataCentre === request.dataCentre;
  const farCost = isNear ? 0 : FAR_PENALTY + request.bodyBytes / FULL_LOAD_BODY_BYTES;
  const warmUpCost = candidate.warmUpMs > 0 ? WARM_UP_PENALTY : 0;
  // Requests that can be retried go to any upstream, which keeps all failure probabilities current.
  const canRecover = request.isRepeatable && request.canTryAgain;
  const failureCost = canRecover ? 0 : candidate.failureProbability * FAILURE_WEIGHT;
  return (
    candidate.inFlight / candidate.slots +
    failureCost +
    farCost +
    warmUpCost +
    random.next() * TIE_BREAK_JITTER
  );
}

type CandidateCost = { readonly id: string; readonly cost: number };

function findCheapest(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  random: RandomSource,
): CandidateCost | undefined {
  return candidates.reduce<CandidateCost | undefined>((best, candidate) => {
    const cost = computeCost(candidate, request, random);
    return best && best.cost <= cost ? best : { id: candidate.id, cost };
  }, undefined);
}

function chooseCheapest(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  random: RandomSource,
): string | undefined {
  return findCheapest(candidates, request, random)?.id;
}

function mayTestSuspects({ isRepeatable, canTryAgain, mayTest }: PlacementRequest): boolean {
  return isRepeatable && canTryAgain && mayTest;
}

function chooseTest(
  request: PlacementRequest,
  available: readonly PlacementCandidate[],
  random: RandomSource,
): PlacementChoice | undefined {
  if (!mayTestSuspects(request)) return undefined;
  const due = available.filter((candidate) => candidate.isSuspect && candidate.isTestDue);
  const upstreamId = chooseCheapest(due, request, random);
  return upstreamId === undefined ? undefined : { upstreamId, reason: 'test' };
}

function hasRoom({ inFlight, slots }: PlacementCandidate): boolean {
  return inFlight < slots;
}

/** Chooses an upstream with a free slot; returns undefined if the request has to wait. */
export function chooseUpstream(
  request: PlacementRequest,
  candidates: readonly PlacementCandidate[],
  random: RandomSource,
): PlacementChoice | undefined {
  const available = candidates.filter(hasRoom);
  const test = chooseTest(request, available, random);
  if (test) return test;
  const trusted = available.filter(({ isSuspect }) => !isSuspect);
  const bestId = chooseCheapest(trusted, request, random);
  if (bestId !== undefined) return { upstreamId: bestId, reason: 'trusted' };
  if (available.length === 0) return undefined;
  const maxFailureProbability = request.computeMaxFailureProbability();
  const acceptable = available.filter(
    ({ failureProbability }) => failureProbability <= maxFailureProbability,
  );
  const acceptedId = chooseCheapest(acceptable, request, random);
  if (acceptedId !== undefined) return { upstreamId: acceptedId, reason: 'risk-accepted' };
  const allSuspect = candidates.every(({ isSuspect }) => isSuspect);
  if (!allSuspect && !mayTestSuspects(request)) return undefined;
  const lastResortId = chooseCheapest(available, request, random);
  if (lastResortId === undefined) return undefined;
  return { upstreamId: lastResortId, reason: allSuspect ? 'all-suspect' : 'suspect-with-room' };
}

/**
 * Chooses like `chooseUpstream`, but looks at the near upstreams alone if no far one could be
 * better: a service may have hundreds of upstreams, most of them in other data centres.
 */
export function chooseNearFirst(
  request: PlacementRequest,
  near: readonly PlacementCandidate[],
  listAll: () => readonly PlacementCandidate[],
  random: RandomSource,
): PlacementChoice | undefined {
  const available = near.filter(hasRoom);
  const test = chooseTest(request, available, random);
  if (test) return test;
  const trusted = available.filter(({ isSuspect }) => !isSuspect);
  const best = findCheapest(trusted, request, random);
  if (best && best.cost <= FAR_PENALTY) return { upstreamId: best.id, reason: 'trusted' };
  return chooseUpstream(request, listAll(), random);
}
