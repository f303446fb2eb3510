/**
 * Finds the route of a request: same host, longest matching path prefix. The table is
 * built once per configuration version, so a lookup costs one map access and a scan of
 * that host's few prefixes, longest first.
 */
import type { Configuration, Route } from './configuration';

/** Looks up the route for a host and path (with or without a query string). */
export type RouteTable = (host: string, path: string) => Route | undefined;

const withoutPort = (host: string): string => {
  const colon = host.lastIndexOf(':');
  return colon > 0 && !host.endsWith(']') ? host.slice(0, colon) : host;
};

/** Builds the route table for one configuration. */
export const createRouteTable = (configuration: Configuration): RouteTable => {
  const byHost = new Map<string, Route[]>();
  configuration.routes.forEach((route) => {
    const host = route.host.toLowerCase();
    byHost.set(host, [...(byHost.get(host) ?? []), route]);
  });
  byHost.forEach((routes) => routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
  return (host, path) =>
    byHost.get(withoutPort(host).toLowerCase())?.find((route) => path.startsWith(route.pathPrefix));
};
