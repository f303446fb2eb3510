export type {
  CallerLimits,
  Configuration,
  Destination,
  RequestKind,
  Route,
  Service,
} from './configuration';
export { isIdempotent } from './configuration';
export type { RouteTable } from './routeTable';
export { createRouteTable } from './routeTable';
export type { TrafficSplit } from './trafficSplit';
export { createTrafficSplit } from './trafficSplit';
