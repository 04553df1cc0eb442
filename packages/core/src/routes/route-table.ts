/**
 * Finds the route of a request: among the routes of its host, the one with the longest prefix
 * that begins its path. A lookup costs one step for each slash of the path, whatever the number
 * of routes.
 */
import type { Route, RoutingConfiguration } from './types.js';

const PORT_PATTERN = /:\d+$/;

/** Cuts a path's query off, which takes no part in the choice of a route. */
function parsePath(target: string): string {
  const end = target.search(/[?#]/);
  return end < 0 ? target : target.slice(0, end);
}

function listSlashes(path: string): readonly number[] {
  return [...path].flatMap((character, index) => (character === '/' ? [index] : []));
}

export class RouteTable {
  readonly configuration: RoutingConfiguration;

  readonly #hosts = new Map<string, Map<string, Route>>();

  constructor(configuration: RoutingConfiguration) {
    this.configuration = configuration;
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
