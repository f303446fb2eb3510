/** The operators' configuration in the form the daemon uses, independent of its source format. */
import type { Customer } from '@cardamomladder/customers';
import type {
  ConfigurationVersion,
  RegionName,
  RouteName,
  ServiceName,
} from '@cardamomladder/types';

/** Whether a request may run more than once. A download is idempotent and has a large response. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'download';

/** One weighted destination of a route's traffic. */
export interface Destination {
  service: ServiceName;
  weight: number;
}

/** How requests for one host and path prefix are served. Times are in milliseconds. */
export interface Route {
  name: RouteName;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  destinations: Destination[];
  /** Maximum number of targets that one request may be sent to. */
  maxAttempts: number;
  /** Maximum time a caller waits; if undefined, only the caller's own deadline applies. */
  timeoutMs?: number;
  /** Latency objective: a response within this time is as good as an immediate one. */
  latencyObjectiveMs?: number;
  /** 0 is the most urgent. */
  priority: number;
  /** Whether callers may omit the API key. */
  isPublic: boolean;
  /** Regions in which requests may be served; empty means any region. */
  homeRegions: RegionName[];
}

/** Settings of one service. */
export interface Service {
  name: ServiceName;
  /** Path of its targets' health check; undefined if they have none. */
  healthPath?: string;
  /** Connections one target accepts from all callers together. */
  maxConnections: number;
  /** How long a target is considered cold after its start, in milliseconds. */
  coldMs: number;
  /** Requests per second that a cold target tolerates from the whole fleet. */
  coldRequestsPerSecond: number;
}

/** Limits on the size of a caller's request and on how long it may take or stay idle. */
export interface CallerLimits {
  headerBytes: number;
  bodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One complete version of the operators' configuration. */
export interface Configuration {
  version: ConfigurationVersion;
  routes: Route[];
  services: Service[];
  /** If undefined, callers need no API key. */
  customers?: Customer[];
  limits: CallerLimits;
}

/** Returns true if a request of this kind may run more than once. */
export const isIdempotent = (kind: RequestKind): boolean => kind !== 'non-idempotent';
