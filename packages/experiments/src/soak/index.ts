export { judgeSoak } from './judge.js';
export { drawDisturbances } from './plan.js';
export { describeSoaks, runSoaks } from './run-soaks.js';
export { Soak } from './soak.js';
export type { SoakOptions, SoakResult } from './soak.js';
export type { Fault, SoakRecord } from './types.js';
