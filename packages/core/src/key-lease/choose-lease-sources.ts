/**
 * Chooses whom a daemon asks to renew its key lease.
 *
 * Load pattern: a reader is cut off from the store but still answers, or is silent; all readers of a
 * data centre are cut off while others are not. Normally one daemon of the own data centre is asked,
 * since traffic between data centres is billed; others only after a round without a good answer.
 */
import { chooseOne, chooseSome } from '../runtime/index.js';
import type { RandomSource } from '../runtime/index.js';
import type { LeaseSource, LeaseSources } from './types.js';

/** Daemons of each kind that are asked in one round. */
const MAX_READERS = 2;
/** The next daemons in rank read the store in the place of a reader that cannot. */
const MAX_SUBSTITUTES = 2;
const MAX_OTHERS = 2;

function removeDuplicates(sources: readonly LeaseSource[]): readonly LeaseSource[] {
  return [...new Map(sources.map((source) => [source.id, source])).values()];
}

function listFew(source: LeaseSource | undefined): readonly LeaseSource[] {
  return source ? [source] : [];
}

/** The daemon that gave the last good answer, and a reader of the own data centre if that is another. */
function chooseUsual(
  { nearReaders, nearOthers, farReaders }: LeaseSources,
  preferredId: string | undefined,
  random: RandomSource,
): readonly LeaseSource[] {
  const isPreferred = ({ id }: LeaseSource): boolean => id === preferredId;
  const preferred = [...nearReaders, ...nearOthers, ...farReaders].find(isPreferred);
  if (preferred && nearReaders.includes(preferred)) return [preferred];
  const reader = chooseOne(random, nearReaders) ?? nearOthers[0] ?? farReaders[0];
  return removeDuplicates([...listFew(preferred), ...listFew(reader)]);
}

/**
 * Returns the daemons to ask. `failedRounds` counts the rounds in a row without a good answer;
 * `preferredId` names the daemon that gave the last one.
 */
export function chooseLeaseSources(
  sources: LeaseSources,
  failedRounds: number,
  preferredId: string | undefined,
  random: RandomSource,
): readonly LeaseSource[] {
  if (failedRounds === 0) return chooseUsual(sources, preferredId, random);
  const { nearReaders, nearOthers, farReaders } = sources;
  const others = nearOthers.slice(MAX_SUBSTITUTES);
  return [
    ...chooseSome(random, nearReaders, MAX_READERS),
    ...nearOthers.slice(0, MAX_SUBSTITUTES),
    ...chooseSome(random, others, failedRounds > 1 ? MAX_OTHERS : 0),
    ...listFew(chooseOne(random, farReaders)),
  ];
}
