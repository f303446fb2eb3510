/**
 * Traffic splits between regions. A split maps each region to a fraction of
 * the traffic; fractions sum to 1. The distance between two splits is the
 * total-variation distance: the fraction of traffic that would go to a
 * different region.
 */
import type { RegionName } from '@cardamomladder/types';

/** Fraction of traffic per region; sums to 1 unless it is empty. */
export type Split = ReadonlyMap<RegionName, number>;

/** Scales weights to fractions that sum to 1; all-zero weights give an empty split. */
export const normalizeWeights = (weights: ReadonlyMap<RegionName, number>): Split => {
  const total = [...weights.values()].reduce((a, b) => a + Math.max(0, b), 0);
  if (total <= 0) return new Map();
  return new Map([...weights].filter(([, w]) => w > 0).map(([r, w]) => [r, w / total]));
};

/** Total-variation distance: the fraction of traffic that `a` and `b` send to different regions. */
export const splitDistance = (a: Split, b: Split): number => {
  const regions = new Set([...a.keys(), ...b.keys()]);
  let sum = 0;
  regions.forEach((r) => {
    sum += Math.abs((a.get(r) ?? 0) - (b.get(r) ?? 0));
  });
  return sum / 2;
};

/**
 * Moves `from` toward `to` by at most `maxStep` of the traffic. Interpolates
 * linearly, so every intermediate split is a valid split.
 */
export const moveToward = (from: Split, to: Split, maxStep: number): Split => {
  if (from.size === 0) return to;
  const gap = splitDistance(from, to);
  if (gap <= maxStep || gap === 0) return to;
  const fraction = maxStep / gap;
  const regions = new Set([...from.keys(), ...to.keys()]);
  const interpolated = new Map<RegionName, number>();
  regions.forEach((r) => {
    const value = (from.get(r) ?? 0) * (1 - fraction) + (to.get(r) ?? 0) * fraction;
    if (value > 1e-12) interpolated.set(r, value);
  });
  return interpolated;
};

/**
 * The split that a planned shift has reached at `now`. The shift starts from
 * `from` at `startedAt` and moves toward `to` by `perMinute` of the traffic per
 * minute. The result depends only on the document, so an entry that receives
 * the change late or starts during the shift continues from the current point
 * instead of restarting the shift. No entry is ahead of the schedule, so the
 * fleet never exceeds the shift limit, whatever each entry knows of the targets.
 */
export const scheduledSplitAt = (
  from: Split,
  to: Split,
  startedAt: number,
  perMinute: number,
  now: number,
): Split => {
  const elapsedMinutes = Math.max(0, now - startedAt) / 60_000;
  return moveToward(from, to, elapsedMinutes * perMinute);
};

/** Removes regions that are not in `allowed` (they have no eligible target) and renormalizes. */
export const restrictToRegions = (split: Split, allowed: ReadonlySet<RegionName>): Split =>
  normalizeWeights(new Map([...split].filter(([r]) => allowed.has(r))));
