/**
 * Shares the requests of a route among its services by weight. Smooth weighted round robin keeps
 * every short run of requests close to the weights, where drawing by chance would scatter; what a
 * service has no room for is never moved to another.
 */
import type { Route, RoutePart } from './types.js';

type Credit = { readonly service: string; readonly weight: number; readonly credit: number };

function describeParts(parts: readonly RoutePart[]): string {
  return parts.map(({ service, weight }) => `${service}=${weight}`).join(',');
}

type RouteCredits = { readonly parts: string; readonly credits: readonly Credit[] };

export class PartChooser {
  readonly #routes = new Map<string, RouteCredits>();

  /** Chooses the service for the next request of a route. */
  choose(route: Route): string {
    const [only, ...others] = route.parts;
    if (only && others.length === 0) return only.service;
    const parts = describeParts(route.parts);
    const known = this.#routes.get(route.id);
    const credits = known?.parts === parts ? known.credits : this.#createCredits(route);
    const raised = credits.map((row) => ({ ...row, credit: row.credit + row.weight }));
    const chosen = raised.reduce((best, row) => (row.credit > best.credit ? row : best));
    const total = raised.reduce((sum, row) => sum + row.weight, 0);
    this.#routes.set(route.id, {
      parts,
      credits: raised.map((row) => (row === chosen ? { ...row, credit: row.credit - total } : row)),
    });
    return chosen.service;
  }

  /** Forgets routes that are no longer configured. */
  keep(routeIds: ReadonlySet<string>): void {
    [...this.#routes.keys()]
      .filter((id) => !routeIds.has(id))
      .forEach((id) => this.#routes.delete(id));
  }

  #createCredits(route: Route): readonly Credit[] {
    return route.parts.map(({ service, weight }) => ({ service, weight, credit: 0 }));
  }
}
