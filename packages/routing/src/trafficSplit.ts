/**
 * Divides a route's requests among its destinations in proportion to their weights.
 * Smooth weighted round robin keeps each destination within one request of its exact
 * share at any time; random selection would be off by several percent over a window of
 * a few hundred requests.
 */
import type { RouteName, ServiceName } from '@cardamomladder/types';
import type { Route } from './configuration';

/** Selects the destination of each request of a route. */
export interface TrafficSplit {
  next: (route: Route) => ServiceName;
}

/** Credit per destination of one route: how far it is behind its share. */
type Credits = Map<ServiceName, number>;

/**
 * Creates a split without history. `random` sets the initial credits, so that
 * instances start at different points of the cycle.
 */
export const createTrafficSplit = (random: () => number = Math.random): TrafficSplit => {
  const creditsByRoute = new Map<RouteName, Credits>();
  const creditsOf = (route: Route): Credits => {
    const existing = creditsByRoute.get(route.name);
    if (existing) return existing;
    const total = route.destinations.reduce((sum, d) => sum + d.weight, 0);
    const initial = new Map(route.destinations.map((d) => [d.service, random() * total]));
    creditsByRoute.set(route.name, initial);
    return initial;
  };
  return {
    next: (route) => {
      if (route.destinations.length === 1) return route.destinations[0].service;
      const credits = creditsOf(route);
      const total = route.destinations.reduce((sum, d) => sum + d.weight, 0);
      route.destinations.forEach((d) =>
        credits.set(d.service, (credits.get(d.service) ?? 0) + d.weight),
      );
      const selected = route.destinations.reduce((best, d) =>
        (credits.get(d.service) ?? 0) > (credits.get(best.service) ?? 0) ? d : best,
      );
      credits.set(selected.service, (credits.get(selected.service) ?? 0) - total);
      return selected.service;
    },
  };
};
