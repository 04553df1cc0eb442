export { applyFloor } from './apply-floor.js';
export type { FloorCandidate, FloorDecision } from './apply-floor.js';
export { Ejections } from './ejections.js';
export type { Ejection, EjectionChange, EjectionPhase, EjectionInput } from './ejections.js';
