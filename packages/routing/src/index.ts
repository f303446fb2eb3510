export type {
  CallerLimits,
  Configuration,
  Destination,
  RequestKind,
  Route,
  Service,
} from './configuration';
export { repeatable } from './configuration';
export type { RouteTable } from './routeTable';
export { routeTable } from './routeTable';
export type { TrafficSplit } from './trafficSplit';
export { trafficSplit } from './trafficSplit';
