/** Lookups while some targets shed all their work and ask for a pause, in virtual time: what callers get. */
import { describe, expect, it } from 'vitest';
import { playLoad } from '..';
import { LOOKUPS, isAmong } from '../__fixtures__/lookups';

const SHED_FROM_MS = 4000;
const SHED_TO_MS = 12_000;
const PAUSE_MS = 3000;

/** 18 targets at half of their slots; a part of them turns requests away for eight seconds, with no load to report. */
const lookups = (seed: number, part: number, heedsTargets: boolean) => {
  let turnedAway = 0;
  const sheds = (target: number, at: number) =>
    isAmong(target, part) && at >= SHED_FROM_MS && at < SHED_TO_MS;
  const report = playLoad({
    seed,
    ...LOOKUPS,
    heedsTargets,
    onArrival: (target, at) => {
      if (sheds(target, at)) turnedAway += 1;
    },
    disturb: (at, targets) =>
      targets.forEach((target, i) => {
        target.pauseMs = sheds(i, at) ? PAUSE_MS : undefined;
      }),
  });
  return { report, turnedAway };
};

describe('while targets shed their work and ask for a pause', () => {
  it.each([1 / 6, 1 / 3, 1 / 2])(
    'callers get more from heeding it, %d of them shedding',
    (part) => {
      // Guards against targets that look free as they report no load, and draw more requests.
      const pressing = lookups(1, part, false);
      const heeding = lookups(1, part, true);
      console.log(
        `${part.toFixed(2)}: credit ${heeding.report.credit.toFixed(3)} (${pressing.report.credit.toFixed(3)} without), refused ${heeding.report.refused} (${pressing.report.refused}), turned away ${heeding.turnedAway} (${pressing.turnedAway})`,
      );
      expect(heeding.report.credit).toBeGreaterThan(pressing.report.credit);
      expect(heeding.report.refused).toBeLessThan(pressing.report.refused);
      expect(heeding.turnedAway).toBeLessThan(pressing.turnedAway / 4);
    },
  );
});
