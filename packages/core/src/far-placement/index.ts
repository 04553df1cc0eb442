export { chooseWithFar } from './choose-with-far.js';
export type { FarChoice } from './choose-with-far.js';
export { FarPlacement } from './far-placement.js';
export type { LearnedAnswer } from './learned-routes.js';
export { DEFAULT_FAR_PLACEMENT_SETTINGS, FAR_REASONS } from './types.js';
export type {
  DataCentreSlots,
  FarJudge,
  FarPlacementSettings,
  FarQueue,
  FarReason,
  FarRequest,
  FarVerdict,
  LoadNews,
  NearOption,
  ServiceView,
} from './types.js';
