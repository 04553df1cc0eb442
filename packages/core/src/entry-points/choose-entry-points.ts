/**
 * Chooses the daemons that a caller should connect to. The owners of the service, which dispatch
 * its requests, come before other daemons; within each group, daemons in the caller's data centre
 * come first. The rest of the order differs by customer, so that traffic peaks are spread over
 * daemons.
 * Only serving daemons are chosen, not those that are leaving or suspect.
 */
import type { Member } from '../membership/index.js';
import type { HashText } from '../runtime/index.js';

export type EntryPointQuery = {
  readonly customer: string;
  /** Data centre near the caller, if the caller named one. */
  readonly dataCentre?: string | undefined;
};

export type EntryPoint = {
  readonly id: string;
  readonly address: string;
  readonly port: number;
  readonly dataCentre: string;
};

const MAX_ENTRY_POINTS = 6;

function toEntryPoint({ id, address, callerPort, dataCentre }: Member): EntryPoint {
  return { id, address, port: callerPort, dataCentre };
}

function rankForCustomer(
  query: EntryPointQuery,
  members: readonly Member[],
  hash: HashText,
): readonly Member[] {
  const getDistance = (member: Member): number => (member.dataCentre === query.dataCentre ? 0 : 1);
  return members
    .map((member) => ({ member, score: hash(`entry|${query.customer}|${member.id}`) }))
    .sort(
      (left, right) =>
        getDistance(left.member) - getDistance(right.member) || right.score - left.score,
    )
    .map(({ member }) => member);
}

/** Chooses the entry points for one caller, best first. `owners` are serving daemons as well. */
export function chooseEntryPoints(
  query: EntryPointQuery,
  owners: readonly Member[],
  serving: readonly Member[],
  hash: HashText,
): readonly EntryPoint[] {
  const ownerIds = new Set(owners.map(({ id }) => id));
  const others = serving.filter(({ id }) => !ownerIds.has(id));
  return [...rankForCustomer(query, owners, hash), ...rankForCustomer(query, others, hash)]
    .slice(0, MAX_ENTRY_POINTS)
    .map(toEntryPoint);
}
