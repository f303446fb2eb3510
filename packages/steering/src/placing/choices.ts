/** Which targets may take a request, and in which parts. */
import type { Placement, ServicePool } from './pool';
import { heldBackMs, usable } from './pool';
import type { Rankings } from './rankings';
import type { PlacedTarget } from './target';
import { hasRoom } from './target';

/** How far down an object's ranking a target that remembers it is looked for. */
const KEEPERS = 5;
/** Requests per slot up to which it keeps the object. */
const KEEP_PER_SLOT = 0.8;
/** How many cold targets of an object's ranking may serve it. */
const COLD_CHOICES = 2;

/** True when nothing but the target's own word may keep the request from it. */
const eligible = (target: PlacedTarget, pool: ServicePool, request: Placement): boolean =>
  usable(target, pool) &&
  target.avoidUntil <= request.now &&
  !target.unanswered.silentAt(request.now) &&
  !request.tried.has(target.id) &&
  (request.homeRegions.length === 0 || request.homeRegions.includes(target.region));

const admissible = (target: PlacedTarget, pool: ServicePool, request: Placement): boolean =>
  eligible(target, pool, request) && heldBackMs(target, pool, request.now) === 0;

const isCold = (target: PlacedTarget, now: number): boolean => target.coldUntil > now;

/** The warm targets of an object: its first, the next one, and the next one in another region. */
export interface WarmTargets {
  first?: PlacedTarget;
  second?: PlacedTarget;
  abroad?: PlacedTarget;
}

/**
 * The target that an object stays with though another one ranks first for it.
 *
 * When targets leave or are evacuated, others stand in for them and learn
 * their objects; when targets join or return, the ranking hands these objects
 * to them, and each is new to its target once more, at three times the work.
 * So an object stays where it is remembered while that target has slots to
 * spare. A target that has learned nothing yet still gets its first objects.
 */
const keeperOf = (best: readonly PlacedTarget[], request: Placement): PlacedTarget | undefined => {
  const [first, ...others] = best;
  if (!first || first.objects.has(request.key) || first.objects.size === 0) return undefined;
  return others.find((t) => t.objects.has(request.key) && hasRoom(t, KEEP_PER_SLOT, request.now));
};

/** The first `most` of an order that pass a test; the rest of a long order is not looked at. */
const firstOf = (
  order: readonly PlacedTarget[],
  most: number,
  test: (target: PlacedTarget) => boolean,
): PlacedTarget[] => {
  const found: PlacedTarget[] = [];
  for (let i = 0; i < order.length && found.length < most; i += 1)
    if (test(order[i])) found.push(order[i]);
  return found;
};

/** The warm ones of an order that may take a request: the best, and the one it stays with. */
const warmOf = (
  order: readonly PlacedTarget[],
  request: Placement,
  pool: ServicePool,
): WarmTargets => {
  const isWarm = (t: PlacedTarget) => admissible(t, pool, request) && !isCold(t, request.now);
  const best = firstOf(order, 1 + KEEPERS, isWarm);
  const first = keeperOf(best, request) ?? best[0];
  if (!first) return {};
  const second = best.find((target) => target !== first);
  const abroad = order.find((target) => target.region !== first.region && isWarm(target));
  return { first, second, abroad };
};

/**
 * The warm targets that may take the request. One in another region helps out
 * before the second, as regions peak at different times and the targets of
 * one region are full together.
 */
export const warmChoices = (
  request: Placement,
  pool: ServicePool,
  rankings: Rankings,
): WarmTargets => warmOf(rankings.of(request.key, request.locality, pool), request, pool);

/**
 * The cold targets that may take the request, best first. A cold target is
 * slow and tolerates little, so a warm one stands in for it; cold ones are for
 * requests that no warm one can take.
 */
export const coldChoices = (
  request: Placement,
  pool: ServicePool,
  rankings: Rankings,
): PlacedTarget[] =>
  firstOf(
    rankings.of(request.key, request.locality, pool),
    COLD_CHOICES,
    (target) => admissible(target, pool, request) && isCold(target, request.now),
  );

/** When the first of the targets takes requests again that ask for a pause, ms; undefined where none does. */
export const soonestMs = (request: Placement, pool: ServicePool): number | undefined => {
  const waits = pool.targets
    .filter((target) => eligible(target, pool, request))
    .map((target) => heldBackMs(target, pool, request.now))
    .filter((ms) => ms > 0);
  return waits.length === 0 ? undefined : Math.min(...waits);
};
