/**
 * Lists the entries of a configuration that no request can ever use. Routes are looked up in the table
 * that daemons use, so that both agree on which route takes precedence.
 */
import { RouteTable } from '../routes/index.js';
import type { Route, RoutingConfiguration } from '../routes/index.js';
import type { Finding } from './types.js';

function buildDeadEntry(place: string, message: string): Finding {
  return { kind: 'dead-entry', place, message };
}

function listDeadRoutes(configuration: RoutingConfiguration): readonly Finding[] {
  const table = new RouteTable(configuration);
  return configuration.routes.flatMap((route) => {
    const found = table.find(route.host, route.prefix);
    if (found === route) return [];
    const isSame =
      found?.prefix === route.prefix && found.host.toLowerCase() === route.host.toLowerCase();
    const message = isSame
      ? `is hidden by route ${found.id}, which has the same host and prefix and stands behind it`
      : 'matches no request: its host must have no port, and its prefix neither ? nor #';
    return [buildDeadEntry(`route ${route.id}`, message)];
  });
}

function listDeadParts({ id, parts }: Route): readonly Finding[] {
  const place = `route ${id}`;
  if (parts.every(({ weight }) => weight === 0)) {
    return [buildDeadEntry(place, 'all of its services have weight 0')];
  }
  return parts
    .filter(({ weight }) => weight === 0)
    .map(({ service }) => buildDeadEntry(place, `service ${service} has weight 0`));
}

function listDeadAccounts({ routes, accounts }: RoutingConfiguration): readonly Finding[] {
  if (!accounts) return [];
  const unusable = accounts
    .filter(({ keyDigests }) => keyDigests.length === 0)
    .map(({ name }) => buildDeadEntry(`account ${name}`, 'has no key, so that nobody can use it'));
  const isAllPublic = routes.length > 0 && routes.every(({ isPublic }) => isPublic === true);
  const unasked = buildDeadEntry('accounts', 'no route asks for a key, as all of them are public');
  return [...unusable, ...(isAllPublic && accounts.length > 0 ? [unasked] : [])];
}

export function listDeadEntries(configuration: RoutingConfiguration): readonly Finding[] {
  return [
    ...listDeadRoutes(configuration),
    ...configuration.routes.flatMap(listDeadParts),
    ...listDeadAccounts(configuration),
  ];
}
