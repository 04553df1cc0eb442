/**
 * Splits the requests of a route among its services by weight. Smooth weighted round robin keeps
 * even short sequences of requests close to the weights, which random choice would not. If the
 * chosen service has no capacity, the request is not moved to another service.
 */
import type { Route, RoutePart } from './types.js';

/** `currentWeight` grows by `weight` with each request; the service with the highest is chosen. */
type WeightState = {
  readonly service: string;
  readonly weight: number;
  readonly currentWeight: number;
};

function describeParts(parts: readonly RoutePart[]): string {
  return parts.map(({ service, weight }) => `${service}=${weight}`).join(',');
}

/** The state of a route. It is reset when `partsText`, the parts it was created for, changes. */
type RouteState = { readonly partsText: string; readonly weights: readonly WeightState[] };

export class WeightedRoundRobin {
  readonly #routes = new Map<string, RouteState>();

  /** Chooses the service for the next request of a route. */
  choose(route: Route): string {
    const [only, ...others] = route.parts;
    if (only && others.length === 0) return only.service;
    const partsText = describeParts(route.parts);
    const known = this.#routes.get(route.id);
    const weights = known?.partsText === partsText ? known.weights : this.#createWeights(route);
    const raised = weights.map((row) => ({
      ...row,
      currentWeight: row.currentWeight + row.weight,
    }));
    const chosen = raised.reduce((best, row) =>
      row.currentWeight > best.currentWeight ? row : best,
    );
    const total = raised.reduce((sum, row) => sum + row.weight, 0);
    this.#routes.set(route.id, {
      partsText,
      weights: raised.map((row) =>
        row === chosen ? { ...row, currentWeight: row.currentWeight - total } : row,
      ),
    });
    return chosen.service;
  }

  /** Discards the state of all routes but the given ones. */
  keep(routeIds: ReadonlySet<string>): void {
    [...this.#routes.keys()]
      .filter((id) => !routeIds.has(id))
      .forEach((id) => this.#routes.delete(id));
  }

  #createWeights(route: Route): readonly WeightState[] {
    return route.parts.map(({ service, weight }) => ({ service, weight, currentWeight: 0 }));
  }
}
