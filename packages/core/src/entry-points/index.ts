export { chooseEntryPoints } from './choose-entry-points.js';
export type { EntryPoint, EntryPointQuery } from './choose-entry-points.js';
