/** Ways of choosing a target: the product's, and a baseline to compare it with. */
import type { Placement, PlacementOutcome, Rankings, ServicePool } from '@cardamomladder/steering';
import { place } from '@cardamomladder/steering';

/** Chooses a target; the product's `place`, or a baseline to compare with. */
export type PlacingRule = (
  request: Placement,
  pool: ServicePool,
  rankings: Rankings,
) => PlacementOutcome;

/** The product's placing. */
export const productRule: PlacingRule = place;

/** The baseline: the least busy target with room, whoever remembers the object. */
export const anyWithRoom: PlacingRule = (request, pool) => {
  const open = pool.targets.filter((t) => t.load.busyAt(request.now) < t.slots * 1.3);
  if (open.length === 0) return { kind: 'rejected', reason: 'full', retryAfterMs: 250 };
  const target = open.reduce((best, t) =>
    t.load.busyAt(request.now) < best.load.busyAt(request.now) ? t : best,
  );
  return { kind: 'placed', target };
};
