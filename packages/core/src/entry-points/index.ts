export { chooseEntries } from './choose-entries.js';
export type { Entry, EntryQuery } from './choose-entries.js';
