/**
 * Shares of traffic per region, and how they move. A split is a map from
 * region to a fraction; fractions sum to 1. The distance between two splits
 * is the total-variation distance: the fraction of traffic that would go to
 * a different region.
 */
import type { RegionName } from '@cardamomladder/types';

/** Fractions of traffic per region; sums to 1 when any region has a share. */
export type Split = ReadonlyMap<RegionName, number>;

/** Scales weights to fractions that sum to 1; all-zero weights give an empty split. */
export const normalize = (weights: ReadonlyMap<RegionName, number>): Split => {
  const total = [...weights.values()].reduce((a, b) => a + Math.max(0, b), 0);
  if (total <= 0) return new Map();
  return new Map([...weights].filter(([, w]) => w > 0).map(([r, w]) => [r, w / total]));
};

/** Fraction of traffic that goes to a different region under `b` than under `a`. */
export const distance = (a: Split, b: Split): number => {
  const regions = new Set([...a.keys(), ...b.keys()]);
  let sum = 0;
  regions.forEach((r) => {
    sum += Math.abs((a.get(r) ?? 0) - (b.get(r) ?? 0));
  });
  return sum / 2;
};

/**
 * Moves `from` toward `to` by at most `maxStep` of traffic, along the straight
 * line between them, so every intermediate split is a valid mix of the two.
 */
export const moveToward = (from: Split, to: Split, maxStep: number): Split => {
  if (from.size === 0) return to;
  const gap = distance(from, to);
  if (gap <= maxStep || gap === 0) return to;
  const t = maxStep / gap;
  const regions = new Set([...from.keys(), ...to.keys()]);
  const mixed = new Map<RegionName, number>();
  regions.forEach((r) => {
    const value = (from.get(r) ?? 0) * (1 - t) + (to.get(r) ?? 0) * t;
    if (value > 1e-12) mixed.set(r, value);
  });
  return mixed;
};

/**
 * Where a planned shift stands at time `now`: it left `from` at `startedAt`
 * and moves toward `to` at `perMinute` of traffic a minute. Every entry that
 * holds the same document computes the same split, so entries that learn of
 * the change late, or start mid-shift, join the fleet where it is instead of
 * starting the shift again; and no entry is ever ahead of the schedule, so the
 * fleet's shift never exceeds the cap whatever each entry's view.
 */
export const scheduled = (
  from: Split,
  to: Split,
  startedAt: number,
  perMinute: number,
  now: number,
): Split => {
  const elapsedMinutes = Math.max(0, now - startedAt) / 60_000;
  return moveToward(from, to, elapsedMinutes * perMinute);
};

/** Removes regions not in `allowed` and renormalises; used when a region has no live target. */
export const restrict = (split: Split, allowed: ReadonlySet<RegionName>): Split =>
  normalize(new Map([...split].filter(([r]) => allowed.has(r))));
