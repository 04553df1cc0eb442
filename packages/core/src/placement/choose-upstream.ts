/**
 * Where a request goes.
 *
 * Load pattern: services near the limit of their slots, shared by several dispatchers, with some
 * upstreams failing grayly at any time. Requests that may run only once go to trusted upstreams; the
 * longer the line for these, the more risk is taken with others that have room, since a request that
 * is refused is as lost as one that fails. Safe requests test the suspects, some time apart, and use
 * their room where the trusted have none and a failure could still be repeated. Among the trusted
 * the one with the most free room wins, and for what may run only once the least risk; an upstream
 * of the own data centre goes before one that is farther, since bytes between data centres cost the
 * users money.
 */
import type { RandomSource } from '../runtime/index.js';

export type PlacementCandidate = {
  readonly id: string;
  readonly dataCentre: string;
  readonly slots: number;
  /** Requests in flight there, of this dispatcher and, as far as known, of all others. */
  readonly inFlight: number;
  /** Probability that it fails the request, from 0 to 1. */
  readonly failureProbability: number;
  readonly isSuspect: boolean;
  /** Whether it is a suspect that should be tested now. */
  readonly isTestDue: boolean;
  /** Milliseconds that it stays slow after its start. */
  readonly warmUpMs: number;
};

export type PlacementRequest = {
  /** Whether the request may run more than once. */
  readonly isRepeatable: boolean;
  /** Whether it may go to another upstream if this attempt fails. */
  readonly canTryAgain: boolean;
  /** Whether the allowance for repeats bears a test that fails. */
  readonly mayTest: boolean;
  /** Works out the highest probability of failure that is better than to go on waiting, 0 to 1. */
  readonly computeMaxFailureProbability: () => number;
  readonly dataCentre: string;
  /** Size of the request's body, which crosses data centres with it. */
  readonly bodyBytes: number;
};

export type PlacementChoice = {
  readonly upstreamId: string;
  readonly reason: 'trusted' | 'test' | 'risk-accepted' | 'suspect-with-room' | 'all-suspect';
};

/**
 * In shares of an upstream's slots: how much fuller a near upstream may be than a far one. A near one
 * with a free slot goes first, unless a far one is much less likely to fail.
 */
const FAR_PENALTY = 0.9;
/** Body bytes that weigh as much as all slots of an upstream: large bodies stay near. */
const FULL_LOAD_BODY_BYTES = 40_000;
/** How much fuller a warm upstream may be than one that has just started. */
const WARM_UP_PENALTY = 0.5;
/** In shares of an upstream's slots for a risk of 1: what may run once shuns small risks already. */
const NON_REPEATABLE_FAILURE_WEIGHT = 8;
/** Breaks ties by chance, so that dispatchers with the same view do not choose alike. */
const TIE_BREAK_JITTER = 0.05;

function computeCost(
  candidate: PlacementCandidate,
  request: PlacementRequest,
  random: RandomSource,
): number {
  const isNear = candidate.dataCentre === request.dataCentre;
  const farCost = isNear ? 0 : FAR_PENALTY + request.bodyBytes / FULL_LOAD_BODY_BYTES;
  const warmUpCost = candidate.warmUpMs > 0 ? WARM_UP_PENALTY : 0;
  // Requests that can be repeated go anywhere, which keeps what is known of all upstreams fresh.
  const canRecover = request.isRepeatable && request.canTryAgain;
  const failureCost = canRecover ? 0 : candidate.failureProbability * NON_REPEATABLE_FAILURE_WEIGHT;
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

/** Chooses an upstream with room; undefined if the request has to wait. */
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
    ({ failureProbability: risk }) => risk <= maxFailureProbability,
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
 * Chooses like `chooseUpstream`, from the near upstreams alone where no far one could be better: a
 * service may have hundreds, most of them in other data centres.
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
