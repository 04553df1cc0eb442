/**
 * Estimates the probability that an upstream fails its next request, from its latest outcomes.
 *
 * The estimate comes from a hidden Markov model. An upstream is either healthy and fails a few
 * requests by chance, or it is in a failure episode and fails a large share of its requests. Each
 * outcome updates the state probabilities (the belief) by Bayes' rule. Without outcomes, the belief
 * converges to the steady state of the model. A healthy upstream that fails once is therefore
 * trusted again after one good answer; an upstream that was in an episode needs several.
 */

/** A kind of failure episode; kinds differ in how many requests fail. */
export type EpisodeKind = {
  /** Share of requests that fail during such an episode, from 0 to 1. */
  readonly failureProbability: number;
  /** Share of all episodes that are of this kind, from 0 to 1; the shares add up to 1. */
  readonly share: number;
};

export type FailureModel = {
  /** Share of requests that a healthy upstream fails, from 0 to 1. */
  readonly healthyFailureProbability: number;
  readonly episodeKinds: readonly EpisodeKind[];
  /** Mean duration of an episode, in milliseconds. */
  readonly meanEpisodeMs: number;
  /** Mean time between two episodes of one upstream, in milliseconds. */
  readonly meanHealthyMs: number;
  /** Probability that an upstream is healthy before it has any outcome, from 0 to 1. */
  readonly initialHealthyProbability: number;
};

/** The state probabilities of one upstream at one time; they add up to 1. */
export type FailureBelief = {
  /** Probability that the upstream is healthy. */
  readonly healthyProbability: number;
  /** Probability of each kind of episode, in the order of `FailureModel.episodeKinds`. */
  readonly episodeProbabilities: readonly number[];
  /** Time of the belief, in milliseconds of the daemon's clock. */
  readonly at: number;
};

/** Lower bound of each state probability, so that a long run of outcomes can still be outweighed. */
const MIN_PROBABILITY = 0.001;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Raises each probability to the minimum, then scales all of them to a sum of 1. */
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

/** Creates the belief about an upstream that has no outcome yet. */
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

/** Advances a belief to `now`: episodes may have ended or begun since its last outcome. */
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

/** Updates a belief with an outcome. An outcome older than the belief counts at the belief's time. */
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

/** Computes the probability that the next request fails, from 0 to 1. */
export function computeFailureProbability(model: FailureModel, belief: FailureBelief): number {
  const failuresInEpisodes = belief.episodeProbabilities.map(
    (probability, index) => probability * (model.episodeKinds[index]?.failureProbability ?? 0),
  );
  return belief.healthyProbability * model.healthyFailureProbability + sum(failuresInEpisodes);
}
