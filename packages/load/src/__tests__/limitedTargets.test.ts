/** Lookups while some targets are in need and name a limit, in virtual time: what callers and targets get. */
import { describe, expect, it } from 'vitest';
import { mostInWindow, playLoad } from '..';
import { LOOKUPS, SLOTS, isAmong } from '../__fixtures__/lookups';

const IN_NEED_FROM_MS = 4000;
const IN_NEED_TO_MS = 14_000;
const BINDS_MS = 3000;
const WINDOW_MS = 4000;
const LIMIT = 2;
const TOLERATED = LIMIT * (WINDOW_MS / 1000) * 1.5 + 5;

/** 18 targets at half of their slots; a part of them works with one slot and names its limit for ten seconds. */
const lookups = (seed: number, part: number, instancesPerRegion: number, heedsTargets: boolean) => {
  const arrivals = new Map<number, number[]>();
  const inNeed = (target: number) => isAmong(target, part);
  const report = playLoad({
    seed,
    ...LOOKUPS,
    instancesPerRegion,
    heedsTargets,
    onArrival: (target, at) => {
      const binds = at > IN_NEED_FROM_MS + BINDS_MS && at < IN_NEED_TO_MS;
      if (binds && inNeed(target)) arrivals.set(target, [...(arrivals.get(target) ?? []), at]);
    },
    disturb: (at, targets) =>
      targets.forEach((target, i) => {
        const now = inNeed(i) && at >= IN_NEED_FROM_MS && at < IN_NEED_TO_MS;
        target.openSlots = now ? 1 : SLOTS;
        target.limitPerSecond = now ? LIMIT : undefined;
      }),
  });
  const worst = Math.max(
    0,
    ...[...arrivals.values()].map((times) => mostInWindow(times, WINDOW_MS)),
  );
  return { report, worst };
};

describe('while targets name a limit', () => {
  it.each([
    [1 / 6, 3],
    [1 / 3, 3],
    [1 / 3, 20],
  ])(
    'they get no more than it, and callers more; %d of them, %d instances a region',
    (part, instances) => {
      // Guards against instances that press on targets in need, at the price of their callers.
      const pressing = lookups(1, part, instances, false);
      const heeding = lookups(1, part, instances, true);
      console.log(
        `${part.toFixed(2)}, ${instances}: credit ${heeding.report.credit.toFixed(3)} (${pressing.report.credit.toFixed(3)} without), refused ${heeding.report.refused} (${pressing.report.refused}), most in 4 s ${heeding.worst} (${pressing.worst}) of ${TOLERATED}`,
      );
      expect(pressing.worst).toBeGreaterThan(TOLERATED);
      expect(heeding.worst).toBeLessThanOrEqual(TOLERATED);
      expect(heeding.report.credit).toBeGreaterThan(pressing.report.credit);
    },
  );

  it('nobody gets less from it on a calm day', () => {
    const pressing = lookups(2, 0, 3, false);
    const heeding = lookups(2, 0, 3, true);
    expect(heeding.report).toEqual(pressing.report);
  });
});
