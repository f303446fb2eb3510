/** Selects the targets that may take a request, and their order of preference. */
import type { PlacementRequest, ServicePool } from './pool';
import { hasCapacity, pauseMs, usable } from './pool';
import type { Rankings } from './rankings';
import type { TargetState } from './target';

/** How many targets of an object's ranking are searched for one that has the object cached. */
const STICKY_SEARCH_DEPTH = 5;
/** Requests per slot up to which a target keeps an object that another target ranks first for. */
const MAX_STICKY_PER_SLOT = 0.8;
/** Maximum number of cold targets that are considered for an object. */
const MAX_COLD_CANDIDATES = 2;

/**
 * Returns true if the target may take the request, apart from a pause or limit that
 * the target itself has asked for.
 */
const eligible = (target: TargetState, pool: ServicePool, request: PlacementRequest): boolean =>
  usable(target, pool) &&
  target.avoidUntil <= request.now &&
  !target.unanswered.isUnresponsive(request.now) &&
  !request.tried.has(target.id) &&
  (request.homeRegions.length === 0 || request.homeRegions.includes(target.region));

/** Returns true if the target is ejected. */
const isEjected = (target: TargetState, pool: ServicePool, now: number): boolean => {
  if (!pool.ejected?.(target, now)) return false;
  pool.onPassedOver?.(target);
  return true;
};

// Ejection first: a target that is also avoided is still asked whether it has recovered.
const eligibleNow = (target: TargetState, pool: ServicePool, request: PlacementRequest): boolean =>
  !isEjected(target, pool, request.now) &&
  eligible(target, pool, request) &&
  pauseMs(target, pool, request.now) === 0;

const isCold = (target: TargetState, now: number): boolean => target.coldUntil > now;

/**
 * The warm targets for an object: the first choice, the next one, and the next one in
 * another region.
 */
export interface WarmCandidates {
  first?: TargetState;
  second?: TargetState;
  remote?: TargetState;
}

/**
 * Returns the target that keeps an object although another target ranks first for it.
 *
 * When targets leave or are evacuated, other targets take over and cache their
 * objects. When targets join or return, the ranking assigns these objects to them, and
 * each is then not cached on its target, which costs three times the work. So an
 * object stays on the target that has it cached while that target has spare slots. A
 * target with an empty cache still gets its first objects.
 */
const stickyTarget = (
  best: readonly TargetState[],
  request: PlacementRequest,
  pool: ServicePool,
): TargetState | undefined => {
  const [first, ...others] = best;
  if (!first || first.cachedObjects.has(request.key) || first.cachedObjects.size === 0)
    return undefined;
  return others.find(
    (t) =>
      t.cachedObjects.has(request.key) && hasCapacity(t, MAX_STICKY_PER_SLOT, pool, request.now),
  );
};

/** Returns the first `limit` targets of a ranking that pass a test, without scanning the rest. */
const findFirst = (
  ranking: readonly TargetState[],
  limit: number,
  predicate: (target: TargetState) => boolean,
): TargetState[] => {
  const found: TargetState[] = [];
  for (let i = 0; i < ranking.length && found.length < limit; i += 1)
    if (predicate(ranking[i])) found.push(ranking[i]);
  return found;
};

/**
 * Selects the warm targets of a ranking: the first choice (or the one that keeps the
 * object) and its alternatives.
 */
const selectWarm = (
  ranking: readonly TargetState[],
  request: PlacementRequest,
  pool: ServicePool,
): WarmCandidates => {
  const isWarm = (t: TargetState) => eligibleNow(t, pool, request) && !isCold(t, request.now);
  const best = findFirst(ranking, 1 + STICKY_SEARCH_DEPTH, isWarm);
  const first = stickyTarget(best, request, pool) ?? best[0];
  if (!first) return {};
  const second = best.find((target) => target !== first);
  const remote = ranking.find((target) => target.region !== first.region && isWarm(target));
  return { first, second, remote };
};

/**
 * Returns the warm targets that may take the request. The one in another region is
 * preferred to the second choice, because regions peak at different times while the
 * targets of one region are full at the same time.
 */
export const warmCandidates = (
  request: PlacementRequest,
  pool: ServicePool,
  rankings: Rankings,
): WarmCandidates => selectWarm(rankings.of(request.key, request.locality, pool), request, pool);

/**
 * Returns the cold targets that may take the request, best first. A cold target is
 * slow and tolerates little load, so it is only used for requests that no warm target
 * can take.
 */
export const coldCandidates = (
  request: PlacementRequest,
  pool: ServicePool,
  rankings: Rankings,
): TargetState[] =>
  findFirst(
    rankings.of(request.key, request.locality, pool),
    MAX_COLD_CANDIDATES,
    (target) => eligibleNow(target, pool, request) && isCold(target, request.now),
  );

/**
 * Returns the shortest time until a target that asked for a pause accepts requests
 * again, ms; undefined if none asked for one.
 */
export const shortestPauseMs = (
  request: PlacementRequest,
  pool: ServicePool,
): number | undefined => {
  const pauses = pool.targets
    .filter((target) => eligible(target, pool, request))
    .map((target) => pauseMs(target, pool, request.now))
    .filter((ms) => ms > 0);
  return pauses.length === 0 ? undefined : Math.min(...pauses);
};
