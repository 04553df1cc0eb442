export { EntryAnswers } from './entry-answers.js';
export type { EntryAnswer, ServiceEntryQuery } from './entry-answers.js';
