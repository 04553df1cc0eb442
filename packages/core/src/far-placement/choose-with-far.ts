/**
 * Chooses an upstream where the decision about other data centres is switched on. Far upstreams that
 * the decision does not open count as full, so that all other rules of the choice stay as they are.
 */
import { chooseNearFirst, chooseUpstream } from '../placement/index.js';
import type { PlacementCandidate, PlacementChoice, PlacementRequest } from '../placement/index.js';
import type { RandomSource } from '../runtime/index.js';
import type { FarJudge, FarReason, NearOption } from './types.js';

export type FarChoice = PlacementChoice & {
  /** Why the request leaves its data centre; undefined if it stays. */
  readonly farReason?: FarReason;
};

/** A near upstream that is less likely to fail is taken without asking whether leaving pays. */
const SURE_FAILURE_PROBABILITY = 0.05;

function closeCandidate(candidate: PlacementCandidate): PlacementCandidate {
  return { ...candidate, inFlight: Math.max(candidate.inFlight, candidate.slots) };
}

function findNearOption(
  choice: PlacementChoice | undefined,
  near: readonly PlacementCandidate[],
): NearOption | undefined {
  const chosen = near.find(({ id }) => id === choice?.upstreamId);
  return chosen && { failureProbability: chosen.failureProbability, isCold: chosen.warmUpMs > 0 };
}

/** Whether a near upstream is good enough to be taken without a comparison with other data centres. */
function isGood(
  choice: PlacementChoice,
  { failureProbability, isCold }: NearOption,
  isNearSlow: boolean,
): boolean {
  const isSure = choice.reason === 'trusted' && failureProbability <= SURE_FAILURE_PROBABILITY;
  return isSure && !isCold && !isNearSlow;
}

/** Chooses an upstream of any data centre that `far` opens for the request. */
export function chooseWithFar(
  request: PlacementRequest,
  near: readonly PlacementCandidate[],
  listAll: () => readonly PlacementCandidate[],
  far: FarJudge,
  random: RandomSource,
): FarChoice | undefined {
  const { dataCentre } = request;
  let all: readonly PlacementCandidate[] | undefined;
  const listOpen = (open: ReadonlySet<string>): readonly PlacementCandidate[] => {
    all ??= listAll();
    return all.map((one) =>
      one.dataCentre === dataCentre || open.has(one.dataCentre) || one.isTestDue
        ? one
        : closeCandidate(one),
    );
  };
  const first = chooseNearFirst(request, near, () => listOpen(new Set()), random);
  const option = findNearOption(first, near);
  if (first?.reason === 'test') return option ? first : { ...first, farReason: 'test' };
  const nearChoice = option && first;
  if (nearChoice && isGood(nearChoice, option, far.isNearSlow())) {
    far.recordStay();
    return nearChoice;
  }
  const verdict = far.judge(option);
  if (!verdict) return nearChoice;
  const candidates = listOpen(verdict.open);
  const offered = verdict.isFarPreferred
    ? candidates.filter((one) => one.dataCentre !== dataCentre)
    : candidates;
  const choice = chooseUpstream(request, offered, random);
  // Another data centre is worth its cost only with an upstream that is trusted there.
  if (!choice || (nearChoice && choice.reason !== 'trusted')) return nearChoice;
  const isFar = candidates.some(
    (one) => one.id === choice.upstreamId && one.dataCentre !== dataCentre,
  );
  return isFar ? { ...choice, farReason: verdict.reason } : choice;
}
