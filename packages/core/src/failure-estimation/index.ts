export {
  advanceBelief,
  computeFailureProbability,
  createBelief,
  applyOutcome,
} from './failure-model.js';
export type { FailureBelief, FailureModel, EpisodeKind } from './failure-model.js';
export {
  DEFAULT_LINK_ESTIMATOR_SETTINGS,
  DEFAULT_UPSTREAM_ESTIMATOR_SETTINGS,
  FailureEstimator,
} from './failure-estimator.js';
export type { TrustChange, AttemptOutcome, FailureEstimatorSettings } from './failure-estimator.js';
