/**
 * The verbs that functions may begin with. docs/VERBS.md says what each means; the linter reads
 * this list.
 */
export const VERBS = [
  'accept',
  'acquire',
  'add',
  'admit',
  'advance',
  'age',
  'announce',
  'answer',
  'apply',
  'ask',
  'assign',
  'await',
];
