/**
 * Ranks a service's targets for an object by weighted rendezvous hashing. A target's
 * weight is its share, by slots, of the objects that its region takes from the local
 * region.
 */
import type { ObjectKey } from '@cardamomladder/types';
import type { Locality } from './homeShares';
import { homeShares } from './homeShares';
import type { ServicePool } from './pool';
import { usable } from './pool';
import { rank } from './rendezvous';
import type { TargetState } from './target';

/** A target's weight in the ranking. */
type Weight = (target: TargetState) => number;

const sumSlotsBy = <Location>(
  targets: readonly TargetState[],
  locationOf: (target: TargetState) => Location,
): Map<Location, number> => {
  const slots = new Map<Location, number>();
  targets.forEach((t) => slots.set(locationOf(t), (slots.get(locationOf(t)) ?? 0) + t.slots));
  return slots;
};

/**
 * Minimum number of targets in the local failure domain for large responses to be kept
 * there. Each domain's targets then cache all objects of their region; a single target
 * would have neither the memory for them nor a replacement when it fails.
 */
const MIN_TARGETS_IN_DOMAIN = 2;

/** Maximum number of cached rankings per service. */
const MAX_CACHED_RANKINGS = 4096;

/** Caches rankings until the pool changes, because ranking computes one hash per target. */
export class Rankings {
  private generation = -1;

  private readonly byKey = new Map<string, TargetState[]>();

  private weights: Record<Locality, Weight> = {
    balanced: ({ slots }) => slots,
    near: ({ slots }) => slots,
  };

  /** Returns the pool's targets for an object, best first. */
  of(key: ObjectKey, locality: Locality, pool: ServicePool): TargetState[] {
    if (pool.generation !== this.generation || this.byKey.size >= MAX_CACHED_RANKINGS)
      this.reset(pool);
    const cacheKey = `${locality}|${key}`;
    const cached = this.byKey.get(cacheKey);
    if (cached) return cached;
    const ranked = rank(key, pool.targets, this.weights[locality]);
    this.byKey.set(cacheKey, ranked);
    return ranked;
  }

  private reset(pool: ServicePool): void {
    this.byKey.clear();
    this.generation = pool.generation;
    const usableTargets = pool.targets.filter((target) => usable(target, pool));
    const slotsByRegion = sumSlotsBy(usableTargets, (target) => target.region);
    const regionTargets = usableTargets.filter((target) => target.region === pool.ownRegion);
    const slotsByDomain = sumSlotsBy(regionTargets, (target) => target.failureDomain);
    const domainTargets = regionTargets.filter((target) => target.failureDomain === pool.ownDomain);
    const prefersDomain = domainTargets.length >= MIN_TARGETS_IN_DOMAIN;
    const weightFor = (locality: Locality): Weight => {
      const regionShares = homeShares(locality, pool.ownRegion, slotsByRegion, pool.demand);
      const domainShares = homeShares(locality, pool.ownDomain, slotsByDomain, pool.domainDemand);
      return ({ slots, region, failureDomain }) => {
        // The region's share, divided evenly among its slots.
        const evenWeight =
          (slots * (regionShares.get(region) ?? 1)) / (slotsByRegion.get(region) ?? 1);
        const splitsByDomain = locality === 'near' && region === pool.ownRegion && prefersDomain;
        if (!splitsByDomain) return evenWeight;
        const ownRegionSlots = slotsByRegion.get(region) ?? 1;
        const domainSlots = slotsByDomain.get(failureDomain) ?? 1;
        return (evenWeight * (domainShares.get(failureDomain) ?? 1) * ownRegionSlots) / domainSlots;
      };
    };
    this.weights = { balanced: weightFor('balanced'), near: weightFor('near') };
  }
}
