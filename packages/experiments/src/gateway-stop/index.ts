export { computeFigures } from './figures.js';
export type { GatewayStopFigures, SeenStop, StopRecord } from './figures.js';
export { GatewayStopExperiment } from './gateway-stop-experiment.js';
export type { GatewayStopOptions } from './gateway-stop-experiment.js';
export { drawKind, drawWorkMs, getProfile, PROFILE_NAMES } from './profiles.js';
export type { Profile, ProfileName, RequestKind, WorkTime } from './profiles.js';
