/**
 * The size of the fleet as one daemon can tell it. After its start a daemon knows all members of its
 * own data centre, but only some of each other one. Bounds that are divided among all daemons need a
 * size that is not too small.
 */
import type { Member } from './types.js';

/**
 * Computes how many daemons the fleet may have, given the members that this daemon knows, dead ones
 * included: every data centre may be as large as the largest of those known.
 */
export function computeExpectedFleetSize(members: readonly Pick<Member, 'dataCentre'>[]): number {
  const counts = members.reduce(
    (sums, { dataCentre }) => sums.set(dataCentre, (sums.get(dataCentre) ?? 0) + 1),
    new Map<string, number>(),
  );
  return Math.max(0, ...counts.values()) * counts.size;
}
