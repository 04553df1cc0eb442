/**
 * The kinds of callers of a soak: what each of them sends in one turn on its connection.
 */
import { ExpectingCaller } from './expecting-caller.js';
import { PipeliningCaller } from './pipelining-caller.js';
import { PlainCaller } from './plain-caller.js';
import { SlowReader } from './slow-reader.js';
import { SlowSender } from './slow-sender.js';
import type { CallerKind } from './types.js';

export type { CallerKind, RequestDraft } from './types.js';

export const CALLER_KINDS: readonly CallerKind[] = [
  new PlainCaller(500, [20, 300]),
  new PlainCaller(1000, [20, 600]),
  new PlainCaller(2500, [40, 1500]),
  new PipeliningCaller(),
  new SlowSender(),
  new SlowReader(),
  new ExpectingCaller(),
];
