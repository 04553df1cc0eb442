export { computeStopBounds, PlannedStop } from './planned-stop.js';
export type { OpenWork, StopBounds, StopState } from './planned-stop.js';
