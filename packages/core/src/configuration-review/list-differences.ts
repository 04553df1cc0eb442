/**
 * Lists what differs between the configuration in force and the next one. Of keys only the number of
 * those added and removed is shown.
 */
import type { ClientAccount } from '../accounts/index.js';
import type { RoutingConfiguration } from '../routes/index.js';
import type { Difference } from './types.js';

type Fields = Readonly<Record<string, unknown>>;
type FieldChanges = Difference['fields'];

function formatField(value: unknown): string {
  return value === undefined ? 'none' : JSON.stringify(value);
}

function listFieldChanges(before: Fields, after: Fields): FieldChanges {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  const changes = names.flatMap((name) => {
    const pair = [formatField(before[name]), formatField(after[name])] as const;
    return pair[0] === pair[1] ? [] : [[name, pair] as const];
  });
  return Object.fromEntries(changes);
}

/** Compares rows by name; `listChanges` tells which fields of a row differ. */
function listRowDifferences<Row>(
  kind: string,
  before: ReadonlyMap<string, Row>,
  after: ReadonlyMap<string, Row>,
  listChanges: (before: Row, after: Row) => FieldChanges,
): readonly Difference[] {
  const names = [...new Set([...before.keys(), ...after.keys()])];
  return names.flatMap((name): readonly Difference[] => {
    const place = `${kind} ${name}`;
    const [old, next] = [before.get(name), after.get(name)];
    if (old === undefined) return [{ place, change: 'added', fields: {} }];
    if (next === undefined) return [{ place, change: 'removed', fields: {} }];
    const fields = listChanges(old, next);
    return Object.keys(fields).length === 0 ? [] : [{ place, change: 'changed', fields }];
  });
}

function listKeyChanges(before: readonly string[], after: readonly string[]): FieldChanges {
  const added = after.filter((digest) => !before.includes(digest)).length;
  const removed = before.filter((digest) => !after.includes(digest)).length;
  if (added + removed === 0) return {};
  return { keys: [`${before.length}`, `${after.length} (${added} added, ${removed} removed)`] };
}

function listAccountChanges(before: ClientAccount, after: ClientAccount): FieldChanges {
  const { keyDigests: oldDigests, ...oldFields } = before;
  const { keyDigests: newDigests, ...newFields } = after;
  return { ...listFieldChanges(oldFields, newFields), ...listKeyChanges(oldDigests, newDigests) };
}

function groupByName<Row>(
  rows: readonly Row[],
  getName: (row: Row) => string,
): ReadonlyMap<string, Row> {
  return new Map(rows.map((row) => [getName(row), row]));
}

export function listDifferences(
  inForce: RoutingConfiguration,
  next: RoutingConfiguration,
): readonly Difference[] {
  const listKept = (configuration: RoutingConfiguration): Fields => ({
    version: configuration.version,
    ...configuration.limits,
    keysRequired: configuration.accounts !== undefined,
  });
  const fields = listFieldChanges(listKept(inForce), listKept(next));
  const own: readonly Difference[] =
    Object.keys(fields).length === 0 ? [] : [{ place: 'configuration', change: 'changed', fields }];
  const [oldRoutes, newRoutes] = [inForce, next].map(({ routes }) =>
    groupByName(routes, ({ id }) => id),
  );
  const [oldAccounts, newAccounts] = [inForce, next].map(({ accounts = [] }) =>
    groupByName(accounts, ({ name }) => name),
  );
  const none = new Map();
  return [
    ...own,
    ...listRowDifferences('route', oldRoutes ?? none, newRoutes ?? none, listFieldChanges),
    ...listRowDifferences('account', oldAccounts ?? none, newAccounts ?? none, listAccountChanges),
  ];
}
