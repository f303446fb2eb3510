/**
 * Selects the target for one request, or rejects the request at once if no target can
 * take it.
 *
 * Targets of some services work several times faster on recently handled objects, so
 * demand may exceed capacity with cold caches and stay below it with warm ones.
 * Spilling over to any target with capacity evicts every target's cached objects:
 * service times grow three-fold, and the overload sustains itself until a restart
 * empties the queues. Keeping each object on its first target, or at most on one
 * spillover target, keeps caches warm, and rejecting the rest keeps queues short.
 */
import type { WarmCandidates } from './candidates';
import { coldCandidates, shortestPauseMs, warmCandidates } from './candidates';
import type { PlacementRequest, ServicePool } from './pool';
import { hasCapacity } from './pool';
import { maxRequestsPerSlot } from './queueLimit';
import type { Rankings } from './rankings';
import type { TargetState } from './target';

/**
 * Maximum requests per slot at a target that takes over a request from an object's
 * first target. It only does so with slots to spare: when all targets are full, taking
 * over would evict its own objects for another target's, and the overload would
 * outlast its cause.
 */
export const MAX_SPILLOVER_PER_SLOT = 1;
/**
 * The same for a target that does not have the object cached and therefore works
 * several times as long.
 */
export const MAX_UNCACHED_PER_SLOT = 0.6;
/**
 * Maximum requests per slot for a request that has already missed its objective: it
 * may take a free slot, but no place in the queue from a request that can still meet
 * its objective.
 */
const MAX_LATE_PER_SLOT = 1;
/**
 * Additional requests per slot for an urgent request, so that a target which is full
 * for other requests still accepts it.
 */
const URGENT_EXTRA_PER_SLOT = 0.3;
/** `retryAfterMs` of a rejection when targets exist, ms: about one service time. */
export const FULL_RETRY_AFTER_MS = 250;
/**
 * `retryAfterMs` when the service has no target, ms: the registry needs about
 * this long to change.
 */
export const NO_TARGET_RETRY_AFTER_MS = 500;

/**
 * Minimum `retryAfterMs` when targets ask for a pause, ms: about one round trip
 * between regions.
 */
const MIN_RETRY_AFTER_MS = 50;

/** Why no target was selected. */
export type RejectionReason = 'no-target' | 'full' | 'cold' | 'held-back';

/** The outcome of placing one request. */
export type PlacementOutcome =
  | { kind: 'placed'; target: TargetState }
  | { kind: 'rejected'; reason: RejectionReason; retryAfterMs: number };

const withinColdShare = (target: TargetState, pool: ServicePool, now: number): boolean =>
  target.coldSends.total(now) < pool.coldShare(target);

/** Returns true if a target may take over a request from an object's first target. */
const canTakeSpillover = (
  target: TargetState,
  { key, now }: PlacementRequest,
  pool: ServicePool,
): boolean =>
  hasCapacity(
    target,
    target.cachedObjects.has(key) ? MAX_SPILLOVER_PER_SLOT : MAX_UNCACHED_PER_SLOT,
    pool,
    now,
  );

/** Returns the warm target for a request, if one has capacity. */
const chooseWarm = (
  { first, second, remote }: WarmCandidates,
  request: PlacementRequest,
  pool: ServicePool,
): TargetState | undefined => {
  if (!first) return undefined;
  const { key, now, objectiveMs, objectiveMissed, urgent } = request;
  const queueLimit =
    maxRequestsPerSlot(objectiveMs, first.responseMs) + (urgent ? URGENT_EXTRA_PER_SLOT : 0);
  const perSlot = objectiveMissed ? MAX_LATE_PER_SLOT : queueLimit;
  const firstHasCapacity = hasCapacity(first, perSlot, pool, now);
  const spilloverTarget = remote && canTakeSpillover(remote, request, pool) ? remote : undefined;
  const spills = pool.spillover.admit(now, !firstHasCapacity && spilloverTarget !== undefined);
  // If the first target has capacity, only a remote target with the object cached keeps serving it.
  if (spilloverTarget && spills && (!firstHasCapacity || spilloverTarget.cachedObjects.has(key)))
    return spilloverTarget;
  if (firstHasCapacity) return first;
  return second && canTakeSpillover(second, request, pool) ? second : undefined;
};

/**
 * Rejects a request that no target may take. If targets ask for a pause, the caller is
 * told to retry after the shortest one.
 */
const rejectWithoutTarget = (request: PlacementRequest, pool: ServicePool): PlacementOutcome => {
  const pauseMs = shortestPauseMs(request, pool);
  return pauseMs === undefined
    ? { kind: 'rejected', reason: 'no-target', retryAfterMs: NO_TARGET_RETRY_AFTER_MS }
    : {
        kind: 'rejected',
        reason: 'held-back',
        retryAfterMs: Math.max(pauseMs, MIN_RETRY_AFTER_MS),
      };
};

/** Selects the target for one request of the pool's service. */
export const place = (
  request: PlacementRequest,
  pool: ServicePool,
  rankings: Rankings,
): PlacementOutcome => {
  const { now } = request;
  const warm = warmCandidates(request, pool, rankings);
  const chosen = chooseWarm(warm, request, pool);
  if (chosen) return { kind: 'placed', target: chosen };
  const cold = coldCandidates(request, pool, rankings);
  const coldTarget = cold.find(
    (t) => hasCapacity(t, MAX_UNCACHED_PER_SLOT, pool, now) && withinColdShare(t, pool, now),
  );
  if (coldTarget) return { kind: 'placed', target: coldTarget };
  if (!warm.first && cold.length === 0) {
    // All targets that may take the request are ejected: a slow response is better than none.
    if (pool.ejected) return place(request, { ...pool, ejected: undefined }, rankings);
    return rejectWithoutTarget(request, pool);
  }
  return {
    kind: 'rejected',
    reason: warm.first ? 'full' : 'cold',
    retryAfterMs: FULL_RETRY_AFTER_MS,
  };
};
