export { chooseEntries } from './choose-entry-points.js';
export type { Entry, EntryQuery } from './choose-entry-points.js';
