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
  readonly risk: number;
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
  readonly computeMaxRisk: () => number;
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
const FAR_BODY_BYTES = 40_000;
/** How much fuller a warm upstream may be than one that has just started. */
const COLD_PENALTY = 0.5;
/** In shares of an upstream's slots for a risk of 1: what may run once shuns small risks already. */
const ONCE_RISK_WEIGHT = 8;
/** Breaks ties by chance, so that dispatchers with the same view do not choose alike. */
const TIE_SPREAD = 0.05;

function computeCost(
  candidate: PlacementCandidate,
  request: PlacementRequest,
  random: RandomSource,
): number {
  const isNear = candidate.dataCentre === request.dataCentre;
  const far = isNear ? 0 : FAR_PENALTY + request.bodyBytes / FAR_BODY_BYTES;
  const cold = candidate.warmUpMs > 0 ? COLD_PENALTY : 0;
  // Requests that can be repeated go anywhere, which keeps what is known of all upstreams fresh.
  const mayFail = request.isRepeatable && request.canTryAgain;
  const risk = mayFail ? 0 : candidate.risk * ONCE_RISK_WEIGHT;
  return candidate.inFlight / candidate.slots + risk + far + cold + random.next() * TIE_SPREAD;
}

type Priced = { readonly id: string; readonly cost: number };

function findCheapest(
  candidates: readonly PlacementCandidate[],
  request: PlacementRequest,
  random: RandomSource,
): Priced | undefined {
  return candidates.reduce<Priced | undefined>((best, candidate) => {
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

function mayTestWith({ isRepeatable, canTryAgain, mayTest }: PlacementRequest): boolean {
  return isRepeatable && canTryAgain && mayTest;
}

function chooseTest(
  request: PlacementRequest,
  open: readonly PlacementCandidate[],
  random: RandomSource,
): PlacementChoice | undefined {
  if (!mayTestWith(request)) return undefined;
  const due = open.filter((one) => one.isSuspect && one.isTestDue);
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
  const open = candidates.filter(hasRoom);
  const test = chooseTest(request, open, random);
  if (test) return test;
  const trusted = open.filter(({ isSuspect }) => !isSuspect);
  const best = chooseCheapest(trusted, request, random);
  if (best !== undefined) return { upstreamId: best, reason: 'trusted' };
  if (open.length === 0) return undefined;
  const maxRisk = request.computeMaxRisk();
  const bearable = open.filter(({ risk }) => risk <= maxRisk);
  const chance = chooseCheapest(bearable, request, random);
  if (chance !== undefined) return { upstreamId: chance, reason: 'risk-accepted' };
  const allSuspect = candidates.every(({ isSuspect }) => isSuspect);
  if (!allSuspect && !mayTestWith(request)) return undefined;
  const last = chooseCheapest(open, request, random);
  if (last === undefined) return undefined;
  return { upstreamId: last, reason: allSuspect ? 'all-suspect' : 'suspect-with-room' };
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
  const open = near.filter(hasRoom);
  const test = chooseTest(request, open, random);
  if (test) return test;
  const trusted = open.filter(({ isSuspect }) => !isSuspect);
  const best = findCheapest(trusted, request, random);
  if (best && best.cost <= FAR_PENALTY) return { upstreamId: best.id, reason: 'trusted' };
  return chooseUpstream(request, listAll(), random);
}
