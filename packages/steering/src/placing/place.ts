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
import type { Candidate } from './rendezvous';
import { rank } from './rendezvous';
import type { Locality } from './homeLean';
import { homeLean } from './homeLean';
import type { PlacedTarget } from './target';

/** Requests a target may have per slot, running or waiting; above 1, a short queue hides the way there and back. */
export const BUSY_PER_SLOT = 1.3;
/**
 * The same for an object's second target: it helps out where it has slots to
 * spare. When all are full it must not, or each forgets its own objects for
 * another's and the overload stays after its cause has gone.
 */
export const SPILL_PER_SLOT = 1;
/** How many targets of an object's ranking may serve it: more would spread each object over more memories. */
export const CHOICES_PER_OBJECT = 2;
/** A rejected caller is told to come back after this, ms, when targets exist: about one service time. */
export const FULL_RETRY_AFTER_MS = 250;
/** The same when no target exists at all: the registry needs about this long to change. */
export const NO_TARGET_RETRY_AFTER_MS = 500;

/** What one request asks of placing. */
export interface Placement {
  /** Requests with the same key go to the same targets. */
  key: ObjectKey;
  locality: Locality;
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
  /** Changes whenever a target is added or removed, starts to leave, or an evacuation begins or ends. */
  generation: number;
  ownRegion: RegionName;
  ownDomain: FailureDomainName;
  /** Each region's part of all requests. */
  demand: ReadonlyMap<RegionName, number>;
  /** Each failure domain's part of the own region's requests. */
  domainDemand: ReadonlyMap<FailureDomainName, number>;
  evacuated: (failureDomain: FailureDomainName) => boolean;
  /** Requests per second this instance may send to the target while it is cold. */
  coldShare: (target: PlacedTarget) => number;
}

interface RankedTarget extends Candidate {
  target: PlacedTarget;
}

/** Factors on the ranking weight of targets in the own region, and besides in the own failure domain. */
interface Leans {
  region: number;
  domain: number;
}

const slotsBy = <Place>(
  targets: readonly PlacedTarget[],
  placeOf: (target: PlacedTarget) => Place,
): Map<Place, number> => {
  const slots = new Map<Place, number>();
  targets.forEach((t) => slots.set(placeOf(t), (slots.get(placeOf(t)) ?? 0) + t.slots));
  return slots;
};

/** Most object keys whose ranking is remembered per service. */
const RANKINGS_KEPT = 4096;

const usable = (target: PlacedTarget, pool: ServicePool): boolean =>
  !target.leaving && !pool.evacuated(target.failureDomain);

/** Remembers rankings while the pool stays the same; ranking costs a hash per target. */
export class Rankings {
  private generation = -1;

  private readonly byKey = new Map<string, PlacedTarget[]>();

  private leans: Record<Locality, Leans> = {
    balanced: { region: 1, domain: 1 },
    near: { region: 1, domain: 1 },
  };

  /** The pool's targets for an object, best first. */
  of(key: ObjectKey, locality: Locality, pool: ServicePool): PlacedTarget[] {
    if (pool.generation !== this.generation || this.byKey.size >= RANKINGS_KEPT) this.reset(pool);
    const name = `${locality}|${key}`;
    const known = this.byKey.get(name);
    if (known) return known;
    const { region, domain } = this.leans[locality];
    const leanOf = (target: PlacedTarget) => {
      if (target.region !== pool.ownRegion) return 1;
      return target.failureDomain === pool.ownDomain ? region * domain : region;
    };
    const candidates = pool.targets.map((target): RankedTarget => ({
      id: target.id,
      weight: target.slots * leanOf(target),
      target,
    }));
    const ranked = rank(key, candidates).map(({ target }) => target);
    this.byKey.set(name, ranked);
    return ranked;
  }

  private reset(pool: ServicePool): void {
    this.byKey.clear();
    this.generation = pool.generation;
    const inUse = pool.targets.filter((target) => usable(target, pool));
    const regions = slotsBy(inUse, (target) => target.region);
    const domains = slotsBy(
      inUse.filter((target) => target.region === pool.ownRegion),
      (target) => target.failureDomain,
    );
    const leansOf = (locality: Locality): Leans => ({
      region: homeLean(locality, pool.ownRegion, regions, pool.demand),
      domain:
        locality === 'near' ? homeLean(locality, pool.ownDomain, domains, pool.domainDemand) : 1,
    });
    this.leans = { balanced: leansOf('balanced'), near: leansOf('near') };
  }
}

const admissible = (target: PlacedTarget, pool: ServicePool, request: Placement): boolean =>
  usable(target, pool) &&
  target.avoidUntil <= request.now &&
  !request.tried.has(target.id) &&
  (request.homeRegions.length === 0 || request.homeRegions.includes(target.region));

const isCold = (target: PlacedTarget, now: number): boolean => target.coldUntil > now;

const hasRoom = (target: PlacedTarget, choice: number, now: number): boolean =>
  target.load.busyAt(now) < target.slots * (choice === 0 ? BUSY_PER_SLOT : SPILL_PER_SLOT);

const coldRoom = (target: PlacedTarget, pool: ServicePool, now: number): boolean =>
  target.coldSends.total(now) < pool.coldShare(target);

/**
 * The targets that may take the request, in order. A cold target is slow and
 * tolerates little, so the next one stands in for it, which until the cold
 * one came was the object's own; cold ones come last.
 */
const choicesOf = (
  request: Placement,
  pool: ServicePool,
  rankings: Rankings,
): { warm: PlacedTarget[]; cold: PlacedTarget[] } => {
  const warm: PlacedTarget[] = [];
  const cold: PlacedTarget[] = [];
  for (const target of rankings.of(request.key, request.locality, pool)) {
    if (warm.length === CHOICES_PER_OBJECT) break;
    if (admissible(target, pool, request)) (isCold(target, request.now) ? cold : warm).push(target);
  }
  return { warm, cold: cold.slice(0, CHOICES_PER_OBJECT) };
};

/** Chooses the target for one request of the pool's service. */
export const place = (
  request: Placement,
  pool: ServicePool,
  rankings: Rankings,
): PlacementOutcome => {
  const { warm, cold } = choicesOf(request, pool, rankings);
  const { now } = request;
  const warmAt = warm.findIndex((target, choice) => hasRoom(target, choice, now));
  if (warmAt >= 0) return { kind: 'placed', target: warm[warmAt], choice: warmAt };
  const coldAt = cold.findIndex(
    (t, i) => hasRoom(t, warm.length + i, now) && coldRoom(t, pool, now),
  );
  if (coldAt >= 0) return { kind: 'placed', target: cold[coldAt], choice: warm.length + coldAt };
  if (warm.length + cold.length === 0)
    return { kind: 'rejected', reason: 'no-target', retryAfterMs: NO_TARGET_RETRY_AFTER_MS };
  return {
    kind: 'rejected',
    reason: warm.length === 0 ? 'cold' : 'full',
    retryAfterMs: FULL_RETRY_AFTER_MS,
  };
};
