/** Lookup load that uses half of the slots of 18 targets, equal in every region. */
import type { LoadSimulationOptions } from '..';
import { productionPolicy } from '..';

/** Number of slots of each target. */
export const SLOTS = 6;

/** Simulation options without the seed and without faults. */
export const LOOKUPS: Omit<LoadSimulationOptions, 'seed'> = {
  targetsPerRegion: { rvk: 6, aey: 6, egs: 6 },
  target: {
    slots: SLOTS,
    queueCapacity: 18,
    serviceTimeMs: 480,
    cacheSavings: 0.6,
    cacheCapacity: 60,
  },
  objectsPerRegion: 120,
  rate: () => 50,
  durationMs: 16_000,
  objectiveMs: 400,
  deadlineMs: 2500,
  interRegionDelayMs: 20,
  policy: productionPolicy,
};

/** Selects a `share` of the targets by index, the same share in every region. */
export const isAffected = (target: number, share: number): boolean => target % 6 < share * 6;
