/**
 * How likely an upstream is to fail its next request, from what its last requests showed.
 *
 * A hidden Markov model: an upstream is sound most of the time and fails now and then by chance, or
 * it is in a spell in which it fails a large share of its requests. Each outcome shifts the belief
 * by Bayes' rule; without outcomes the belief drifts to what is usual. A lone failure of a sound
 * upstream is thus forgiven after one good answer, a spell only after several.
 */

/** A kind of spell. */
export type SpellKind = {
  /** Share of requests that fail during such a spell, from 0 to 1. */
  readonly failureShare: number;
  /** Share of all spells that are of this kind, from 0 to 1; the kinds sum up to 1. */
  readonly share: number;
};

export type FailureModel = {
  /** Share of requests that a sound upstream fails, from 0 to 1. */
  readonly soundFailureShare: number;
  readonly spells: readonly SpellKind[];
  /** Mean length of a spell, in milliseconds. */
  readonly meanSpellMs: number;
  /** Mean time between two spells of one upstream, in milliseconds. */
  readonly meanSoundMs: number;
  /** Probability that an upstream is sound when it is first met. */
  readonly initialSound: number;
};

/** What is held to be true of an upstream at a moment. */
export type FailureBelief = {
  /** Probability that it is sound. */
  readonly sound: number;
  /** Probability of each kind of spell, in the order of the model. */
  readonly spells: readonly number[];
  /** In milliseconds of the daemon's clock. */
  readonly at: number;
};

/** No run of outcomes makes a belief so firm that the opposite could not be noticed. */
const MIN_PROBABILITY = 0.001;

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/** Brings probabilities back to a sum of one, none of them below the minimum. */
function buildBelief({ sound, spells, at }: FailureBelief): FailureBelief {
  const floored = [sound, ...spells].map((value) => Math.max(value, MIN_PROBABILITY));
  const total = sum(floored);
  const [first = 0, ...rest] = floored.map((value) => value / total);
  return { sound: first, spells: rest, at };
}

/** The belief about an upstream that is met for the first time. */
export function createBelief({ spells, initialSound }: FailureModel, at: number): FailureBelief {
  const rest = 1 - initialSound;
  return { sound: initialSound, spells: spells.map(({ share }) => share * rest), at };
}

/** Lets time pass: spells end and begin unseen. */
export function ageBelief(model: FailureModel, belief: FailureBelief, now: number): FailureBelief {
  const elapsedMs = now - belief.at;
  if (elapsedMs <= 0) return belief;
  const endRate = 1 / model.meanSpellMs;
  const startRate = 1 / model.meanSoundMs;
  const usualSound = endRate / (endRate + startRate);
  const memory = Math.exp(-(endRate + startRate) * elapsedMs);
  const sound = usualSound + (belief.sound - usualSound) * memory;
  const kept = Math.exp(-endRate * elapsedMs);
  const begun = 1 - sound - (1 - belief.sound) * kept;
  const spells = belief.spells.map(
    (probability, index) => probability * kept + (model.spells[index]?.share ?? 0) * begun,
  );
  return { sound, spells, at: now };
}

/** Takes an outcome in. An outcome that is older than the belief counts as if it came now. */
export function applyOutcome(
  model: FailureModel,
  belief: FailureBelief,
  isGood: boolean,
  at: number,
): FailureBelief {
  const aged = ageBelief(model, belief, at);
  const weigh = (failureShare: number): number => (isGood ? 1 - failureShare : failureShare);
  return buildBelief({
    sound: aged.sound * weigh(model.soundFailureShare),
    spells: aged.spells.map(
      (probability, index) => probability * weigh(model.spells[index]?.failureShare ?? 0),
    ),
    at: aged.at,
  });
}

/** Probability that the next request fails. */
export function computeRisk(model: FailureModel, belief: FailureBelief): number {
  const inSpells = belief.spells.map(
    (probability, index) => probability * (model.spells[index]?.failureShare ?? 0),
  );
  return belief.sound * model.soundFailureShare + sum(inSpells);
}
