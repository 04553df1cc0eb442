/**
 * How likely an upstream is to fail its next request, from what its last requests showed.
 *
 * A hidden Markov model: an upstream is sound most of the time and fails now and then by chance, or
 * it is in a spell in which it fails a large share of its requests. Each outcome shifts the belief
 * by Bayes' rule; without outcomes the belief drifts to what is usual. A lone failure of a sound
 * upstream is thus forgiven after one good answer, a spell only after several.
 */

/** A kind of spell. */
export type EpisodeKind = {
  /** Share of requests that fail during such a spell, from 0 to 1. */
  readonly failureProbability: number;
  /** Share of all spells that are of this kind, from 0 to 1; the kinds sum up to 1. */
  readonly share: number;
};

export type FailureModel = {
  /** Share of requests that a sound upstream fails, from 0 to 1. */
  readonly healthyFailureProbability: number;
  readonly episodeKinds: readonly EpisodeKind[];
  /** Mean length of a spell, in milliseconds. */
  readonly meanEpisodeMs: number;
  /** Mean time between two spells of one upstream, in milliseconds. */
  readonly meanHealthyMs: number;
  /** Probability that an upstream is sound when it is first met. */
  readonly initialHealthyProbability: number;
};

/** What is held to be true of an upstream at a moment. */
export type FailureBelief = {
  /** Probability that it is sound. */
  readonly healthyProbability: number;
  /** Probability of each kind of spell, in the order of the model. */
  readonly episodeProbabilities: readonly number[];
  /** In milliseconds of the daemon's clock. */
  readonly at: number;
};

/** No run of outcomes makes a belief so firm that the opposite could not be noticed. */
const MIN_PROBABILITY = 0.001;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Brings probabilities back to a sum of one, none of them below the minimum. */
function buildNormalizedBelief({
  healthyProbability,
  episodeProbabilities,
  at,
}: FailureBelief): FailureBelief {
  const floored = [healthyProbability, ...episodeProbabilities].map((value) =>
    Math.max(value, MIN_PROBABILITY),
  );
  const total = sum(floored);
  const [healthy = 0, ...episodes] = floored.map((value) => value / total);
  return { healthyProbability: healthy, episodeProbabilities: episodes, at };
}

/** The belief about an upstream that is met for the first time. */
export function createBelief(
  { episodeKinds, initialHealthyProbability }: FailureModel,
  at: number,
): FailureBelief {
  const inEpisode = 1 - initialHealthyProbability;
  return {
    healthyProbability: initialHealthyProbability,
    episodeProbabilities: episodeKinds.map(({ share }) => share * inEpisode),
    at,
  };
}

/** Lets time pass: spells end and begin unseen. */
export function advanceBelief(
  model: FailureModel,
  belief: FailureBelief,
  now: number,
): FailureBelief {
  const elapsedMs = now - belief.at;
  if (elapsedMs <= 0) return belief;
  const endRate = 1 / model.meanEpisodeMs;
  const startRate = 1 / model.meanHealthyMs;
  const steadyStateHealthy = endRate / (endRate + startRate);
  const decay = Math.exp(-(endRate + startRate) * elapsedMs);
  const healthyProbability =
    steadyStateHealthy + (belief.healthyProbability - steadyStateHealthy) * decay;
  const stillInEpisode = Math.exp(-endRate * elapsedMs);
  const newInEpisode = 1 - healthyProbability - (1 - belief.healthyProbability) * stillInEpisode;
  const episodeProbabilities = belief.episodeProbabilities.map(
    (probability, index) =>
      probability * stillInEpisode + (model.episodeKinds[index]?.share ?? 0) * newInEpisode,
  );
  return { healthyProbability, episodeProbabilities, at: now };
}

/** Takes an outcome in. An outcome that is older than the belief counts as if it came now. */
export function applyOutcome(
  model: FailureModel,
  belief: FailureBelief,
  isGood: boolean,
  at: number,
): FailureBelief {
  const predicted = advanceBelief(model, belief, at);
  const computeLikelihood = (failureProbability: number): number =>
    isGood ? 1 - failureProbability : failureProbability;
  return buildNormalizedBelief({
    healthyProbability:
      predicted.healthyProbability * computeLikelihood(model.healthyFailureProbability),
    episodeProbabilities: predicted.episodeProbabilities.map(
      (probability, index) =>
        probability * computeLikelihood(model.episodeKinds[index]?.failureProbability ?? 0),
    ),
    at: predicted.at,
  });
}

/** Probability that the next request fails. */
export function computeFailureProbability(model: FailureModel, belief: FailureBelief): number {
  const failuresInEpisodes = belief.episodeProbabilities.map(
    (probability, index) => probability * (model.episodeKinds[index]?.failureProbability ?? 0),
  );
  return belief.healthyProbability * model.healthyFailureProbability + sum(failuresInEpisodes);
}
