/**
 * Which daemons a caller should use. The daemons that dispatch the service come first, those of
 * the caller's data centre before others and rotated by customer so that a wave spreads; daemons
 * that leave or are suspect are not named at all.
 */
import type { Member } from '../membership/index.js';
import type { HashText } from '../runtime/index.js';

export type EntryQuery = {
  readonly customer: string;
  /** Data centre near the caller, if it said so. */
  readonly dataCentre?: string | undefined;
};

export type Entry = {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly dataCentre: string;
};

const MAX_ENTRIES = 6;

function toEntry({ id, address, callerPort, dataCentre }: Member): Entry {
  return { id, address, port: callerPort, dataCentre };
}

function rankForCustomer(
  query: EntryQuery,
  members: readonly Member[],
  hash: HashText,
): readonly Member[] {
  const isLocal = (member: Member): number => (member.dataCentre === query.dataCentre ? 0 : 1);
  return members
    .map((member) => ({ member, score: hash(`entry|${query.customer}|${member.id}`) }))
    .sort((left, right) => isLocal(left.member) - isLocal(right.member) || right.score - left.score)
    .map(({ member }) => member);
}

/** Chooses the addresses for one caller, best first. Owners go before other serving daemons. */
export function chooseEntries(
  query: EntryQuery,
  owners: readonly Member[],
  serving: readonly Member[],
  hash: HashText,
): readonly Entry[] {
  const ownerIds = new Set(owners.map(({ id }) => id));
  const others = serving.filter(({ id }) => !ownerIds.has(id));
  return [...rankForCustomer(query, owners, hash), ...rankForCustomer(query, others, hash)]
    .slice(0, MAX_ENTRIES)
    .map(toEntry);
}
