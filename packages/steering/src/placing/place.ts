/**
 * Chooses the target of one request, or says at once that none can take it.
 *
 * The load this answers: services whose targets work several times faster on
 * objects they have handled lately, at a demand that is above the capacity
 * with cold memories and below it with warm ones. Spilling to any target
 * with room makes every target forget what it knew; service times grow
 * three-fold and the overload feeds itself until queues are emptied by a
 * restart. Keeping each object on its first-ranked target, or at most its
 * second, keeps memories warm, and refusing the rest keeps queues short.
 */
import type { FailureDomainName, ObjectKey, RegionName, TargetId } from '@cardamomladder/types';
import { rank } from './rendezvous';
import type { PlacedTarget } from './target';

/** Requests a target may have per slot, running or waiting; above 1, a short queue hides the way there and back. */
export const BUSY_PER_SLOT = 1.3;
/** How many targets of an object's ranking may serve it. */
export const CHOICES_PER_OBJECT = 2;
/** Extra ranking weight of targets in the instance's own region: saves the way there at little loss of balance. */
export const OWN_REGION_LEAN = 0.12;
/** A rejected caller is told to come back after this, ms, when targets exist: about one service time. */
export const FULL_RETRY_AFTER_MS = 250;
/** The same when no target exists at all: the registry needs about this long to change. */
export const NO_TARGET_RETRY_AFTER_MS = 500;

/** What one request asks of placing. */
export interface Placement {
  /** Requests with the same key go to the same targets. */
  key: ObjectKey;
  /** Regions in which the request may run; empty: anywhere. */
  homeRegions: readonly RegionName[];
  /** Targets that already had this request. */
  tried: ReadonlySet<TargetId>;
  now: number;
}

/** Why no target was chosen. */
export type RejectionReason = 'no-target' | 'full' | 'cold';

/** The outcome of placing one request. */
export type PlacementOutcome =
  | { kind: 'placed'; target: PlacedTarget; choice: number }
  | { kind: 'rejected'; reason: RejectionReason; retryAfterMs: number };

/** What placing knows of one service: its targets and the conditions that bind them. */
export interface ServicePool {
  targets: readonly PlacedTarget[];
  /** Changes whenever a target is added or removed. */
  generation: number;
  ownRegion: RegionName;
  evacuated: (failureDomain: FailureDomainName) => boolean;
  /** Requests per second this instance may send to the target while it is cold. */
  coldShare: (target: PlacedTarget) => number;
}

const admissible = (target: PlacedTarget, pool: ServicePool, request: Placement): boolean =>
  !target.leaving &&
  target.avoidUntil <= request.now &&
  !request.tried.has(target.id) &&
  !pool.evacuated(target.failureDomain) &&
  (request.homeRegions.length === 0 || request.homeRegions.includes(target.region));

const hasRoom = (target: PlacedTarget, now: number): boolean =>
  target.load.busyAt(now) < target.slots * BUSY_PER_SLOT;

const coldRoom = (target: PlacedTarget, pool: ServicePool, now: number): boolean =>
  target.coldUntil <= now || target.coldSends.total(now) < pool.coldShare(target);

/** Most object keys whose ranking is remembered per service. */
const RANKINGS_KEPT = 4096;

/** Remembers rankings while the set of targets stays the same; ranking costs a hash per target. */
export class Rankings {
  private generation = -1;

  private readonly byKey = new Map<ObjectKey, PlacedTarget[]>();

  /** The pool's targets for `key`, best first. */
  of(key: ObjectKey, pool: ServicePool): PlacedTarget[] {
    if (pool.generation !== this.generation || this.byKey.size >= RANKINGS_KEPT) {
      this.byKey.clear();
      this.generation = pool.generation;
    }
    const known = this.byKey.get(key);
    if (known) return known;
    const candidates = pool.targets.map((target) => ({
      id: target.id,
      weight: target.slots * (target.region === pool.ownRegion ? 1 + OWN_REGION_LEAN : 1),
      target,
    }));
    const ranked = rank(key, candidates).map(({ target }) => target);
    this.byKey.set(key, ranked);
    return ranked;
  }
}

/** Chooses the target for one request of the pool's service. */
export const place = (
  request: Placement,
  pool: ServicePool,
  rankings: Rankings,
): PlacementOutcome => {
  const choices: PlacedTarget[] = [];
  for (const target of rankings.of(request.key, pool)) {
    if (admissible(target, pool, request)) choices.push(target);
    if (choices.length === CHOICES_PER_OBJECT) break;
  }
  if (choices.length === 0)
    return { kind: 'rejected', reason: 'no-target', retryAfterMs: NO_TARGET_RETRY_AFTER_MS };
  let cold = false;
  for (let choice = 0; choice < choices.length; choice += 1) {
    const target = choices[choice];
    if (hasRoom(target, request.now)) {
      if (coldRoom(target, pool, request.now)) return { kind: 'placed', target, choice };
      cold = true;
    }
  }
  return {
    kind: 'rejected',
    reason: cold ? 'cold' : 'full',
    retryAfterMs: FULL_RETRY_AFTER_MS,
  };
};
