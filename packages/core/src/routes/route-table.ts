/**
 * Finds the route of a request: among the routes of its host, the one with the longest prefix of
 * the request's path. A lookup looks at one part of the path for each length that the prefixes of the
 * host have, so that no path costs more than the configuration.
 */
import { AccountTable } from '../accounts/index.js';
import type { Route, RoutingConfiguration } from './types.js';

const PORT_PATTERN = /:\d+$/;

/** Removes the query and the fragment, which do not affect the choice of a route. */
function parsePath(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}

/** The routes of a host by prefix. */
type HostRoutes = {
  readonly byPrefix: Map<string, Route>;
  /** The different lengths of the prefixes, the longest first. */
  readonly lengths: readonly number[];
};

function groupByHost(routes: readonly Route[]): ReadonlyMap<string, HostRoutes> {
  const prefixes = new Map<string, Map<string, Route>>();
  routes.forEach((route) => {
    const host = route.host.toLowerCase();
    const byPrefix = prefixes.get(host) ?? new Map<string, Route>();
    byPrefix.set(route.prefix, route);
    prefixes.set(host, byPrefix);
  });
  return new Map(
    [...prefixes].map(([host, byPrefix]) => {
      const lengths = new Set([...byPrefix.keys()].map((prefix) => prefix.length));
      return [host, { byPrefix, lengths: [...lengths].sort((left, right) => right - left) }];
    }),
  );
}

export class RouteTable {
  readonly configuration: RoutingConfiguration;

  /** The accounts whose keys requests have to bear; undefined if requests need no key. */
  readonly accounts: AccountTable | undefined;

  readonly #hosts: ReadonlyMap<string, HostRoutes>;

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
    this.accounts = configuration.accounts && new AccountTable(configuration.accounts);
    this.#hosts = groupByHost(configuration.routes);
  }

  /** Finds the route for a Host header and a request target; undefined if none matches. */
  find(hostHeader: string, target: string): Route | undefined {
    const routes = this.#hosts.get(hostHeader.toLowerCase().replace(PORT_PATTERN, ''));
    if (!routes) return undefined;
    const path = parsePath(target);
    const length = routes.lengths.find(
      (one) => path[one - 1] === '/' && routes.byPrefix.has(path.slice(0, one)),
    );
    return length === undefined ? undefined : routes.byPrefix.get(path.slice(0, length));
  }
}
