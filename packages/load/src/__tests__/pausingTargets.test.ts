/** Lookups while some targets shed all load and ask for a pause, simulated in virtual time. */
import { describe, expect, it } from 'vitest';
import { simulateLoad } from '..';
import { LOOKUPS, isAffected } from '../__fixtures__/lookups';

const SHED_FROM_MS = 4000;
const SHED_TO_MS = 12_000;
const PAUSE_MS = 3000;

/** Uses half of the slots of 18 targets; a share of the targets rejects requests for eight seconds and reports no load. */
const lookups = (seed: number, share: number, honorsTargetSignals: boolean) => {
  let rejectedByTargets = 0;
  const sheds = (target: number, at: number) =>
    isAffected(target, share) && at >= SHED_FROM_MS && at < SHED_TO_MS;
  const report = simulateLoad({
    seed,
    ...LOOKUPS,
    honorsTargetSignals,
    onArrival: (target, at) => {
      if (sheds(target, at)) rejectedByTargets += 1;
    },
    disturb: (at, targets) =>
      targets.forEach((target, i) => {
        target.pauseMs = sheds(i, at) ? PAUSE_MS : undefined;
      }),
  });
  return { report, rejectedByTargets };
};

describe('while targets shed load and ask for a pause', () => {
  it.each([1 / 6, 1 / 3, 1 / 2])(
    'callers earn more credit if the pause is honoured, %d of the targets shedding',
    (share) => {
      // Guards against shedding targets that attract more requests because they report no load and look idle.
      const ignoring = lookups(1, share, false);
      const honoring = lookups(1, share, true);
      console.log(
        `${share.toFixed(2)}: credit ${honoring.report.credit.toFixed(3)} (${ignoring.report.credit.toFixed(3)} without), rejected ${honoring.report.rejected} (${ignoring.report.rejected}), by targets ${honoring.rejectedByTargets} (${ignoring.rejectedByTargets})`,
      );
      expect(honoring.report.credit).toBeGreaterThan(ignoring.report.credit);
      expect(honoring.report.rejected).toBeLessThan(ignoring.report.rejected);
      expect(honoring.rejectedByTargets).toBeLessThan(ignoring.rejectedByTargets / 4);
    },
  );
});
