import type {
  PlacementRequest,
  PlacementOutcome,
  Rankings,
  ServicePool,
} from '@cardamomladder/steering';
import { place } from '@cardamomladder/steering';

/** Chooses a target for a request: the production algorithm `place`, or a baseline to compare it with. */
export type PlacementPolicy = (
  request: PlacementRequest,
  pool: ServicePool,
  rankings: Rankings,
) => PlacementOutcome;

/** The placement algorithm used in production. */
export const productionPolicy: PlacementPolicy = place;

/** Baseline: the least busy target with free capacity, whether or not it has the object cached. */
export const leastBusyPolicy: PlacementPolicy = (request, pool) => {
  const open = pool.targets.filter((t) => t.load.requestsAt(request.now) < t.slots * 1.3);
  if (open.length === 0) return { kind: 'rejected', reason: 'full', retryAfterMs: 250 };
  const target = open.reduce((best, t) =>
    t.load.requestsAt(request.now) < best.load.requestsAt(request.now) ? t : best,
  );
  return { kind: 'placed', target };
};
