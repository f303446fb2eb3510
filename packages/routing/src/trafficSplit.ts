/**
 * Divides a route's requests among its destinations in proportion to their
 * weights. Smooth weighted round robin keeps each destination within one
 * request of its exact share at every moment; drawing at random would be off
 * by several percent in a window of a few hundred requests.
 */
import type { RouteName, ServiceName } from '@cardamomladder/types';
import type { Route } from './configuration';

/** Names the destination of each next request of a route. */
export interface TrafficSplit {
  next: (route: Route) => ServiceName;
}

/** Credit per destination of one route: how far it is behind its share. */
type Credits = Map<ServiceName, number>;

/** Starts a split with no history; `random` staggers instances against each other. */
export const trafficSplit = (random: () => number = Math.random): TrafficSplit => {
  const byRoute = new Map<RouteName, Credits>();
  const creditsOf = (route: Route): Credits => {
    const known = byRoute.get(route.name);
    if (known) return known;
    const total = route.destinations.reduce((sum, d) => sum + d.weight, 0);
    const fresh = new Map(route.destinations.map((d) => [d.service, random() * total]));
    byRoute.set(route.name, fresh);
    return fresh;
  };
  return {
    next: (route) => {
      if (route.destinations.length === 1) return route.destinations[0].service;
      const credits = creditsOf(route);
      const total = route.destinations.reduce((sum, d) => sum + d.weight, 0);
      route.destinations.forEach((d) =>
        credits.set(d.service, (credits.get(d.service) ?? 0) + d.weight),
      );
      const winner = route.destinations.reduce((best, d) =>
        (credits.get(d.service) ?? 0) > (credits.get(best.service) ?? 0) ? d : best,
      );
      credits.set(winner.service, (credits.get(winner.service) ?? 0) - total);
      return winner.service;
    },
  };
};
