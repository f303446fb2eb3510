/** Lookups on 18 targets at half of their slots, the same in every region. */
import type { PlayedLoadOptions } from '..';
import { productRule } from '..';

/** Slots of each target. */
export const SLOTS = 6;

/** The load, but for its seed and what happens to the targets. */
export const LOOKUPS: Omit<PlayedLoadOptions, 'seed'> = {
  targetsPerRegion: { rvk: 6, aey: 6, egs: 6 },
  target: { slots: SLOTS, queue: 18, workMs: 480, warmGain: 0.6, remembers: 60 },
  objectsPerRegion: 120,
  rate: () => 50,
  lengthMs: 16_000,
  objectiveMs: 400,
  deadlineMs: 2500,
  betweenRegionsMs: 20,
  rule: productRule,
};

/** True for so large a part of the targets, by their numbers, in every region alike. */
export const isAmong = (target: number, part: number): boolean => target % 6 < part * 6;
