/** A configuration with as many routes as the largest deployment has after a bulk import. */
import type { StoreRecord } from '@cardamomladder/fleet';
import type { Route } from '@cardamomladder/routing';
import { configurationVersion, regionName, routeName, serviceName } from '@cardamomladder/types';

const ROUTES = 1478;

const routeAt = (_: unknown, i: number): Route => ({
  name: routeName(`r-${((i + 1) * 2654435761).toString(36).slice(-7)}`),
  host: `host-${(i * 7919) % 97}.example`,
  pathPrefix: `/service-${i}/part-${(i * 31) % 89}/`,
  kind: i % 3 === 0 ? 'non-idempotent' : 'idempotent',
  destinations: [{ service: serviceName(`service-${i % 12}`), weight: 100 }],
  maxAttempts: 3,
  timeoutMs: 2000 + i,
  latencyObjectiveMs: 300,
  priority: i % 4,
  isPublic: false,
  homeRegions: [regionName(`region-${i % 3}`)],
});

/** Returns the record of one version, written at `revision`. */
export const largeConfiguration = (version: number, revision: number): StoreRecord => ({
  key: 'configuration',
  revision,
  fact: {
    kind: 'configuration',
    configuration: {
      version: configurationVersion(version),
      routes: Array.from({ length: ROUTES }, routeAt),
      services: [],
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    },
  },
});
