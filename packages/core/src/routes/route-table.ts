/**
 * Finds the route of a request: among the routes of its host, the one with the longest prefix of
 * the request's path. A lookup takes at most one step per slash in the path, regardless of the
 * number of routes.
 */
import { AccountTable } from '../accounts/index.js';
import type { Route, RoutingConfiguration } from './types.js';

const PORT_PATTERN = /:\d+$/;

/** Removes the query and the fragment, which do not affect the choice of a route. */
function parsePath(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}

function listSlashes(path: string): readonly number[] {
  return [...path].flatMap((character, index) => (character === '/' ? [index] : []));
}

export class RouteTable {
  readonly configuration: RoutingConfiguration;

  /** The accounts whose keys requests have to bear; undefined if requests need no key. */
  readonly accounts: AccountTable | undefined;

  readonly #hosts = new Map<string, Map<string, Route>>();

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
    this.accounts = configuration.accounts && new AccountTable(configuration.accounts);
    configuration.routes.forEach((route) => this.#add(route));
  }

  /** Finds the route for a Host header and a request target; undefined if none matches. */
  find(hostHeader: string, target: string): Route | undefined {
    const prefixes = this.#hosts.get(hostHeader.toLowerCase().replace(PORT_PATTERN, ''));
    if (!prefixes) return undefined;
    const path = parsePath(target);
    const slash = listSlashes(path).findLast((index) => prefixes.has(path.slice(0, index + 1)));
    return slash === undefined ? undefined : prefixes.get(path.slice(0, slash + 1));
  }

  #add(route: Route): void {
    const host = route.host.toLowerCase();
    const prefixes = this.#hosts.get(host) ?? new Map<string, Route>();
    prefixes.set(route.prefix, route);
    this.#hosts.set(host, prefixes);
  }
}
