/** Lookups while some targets are overloaded and advertise a rate limit, simulated in virtual time. */
import { describe, expect, it } from 'vitest';
import { maxInWindow, simulateLoad } from '..';
import { LOOKUPS, SLOTS, isAffected } from '../__fixtures__/lookups';

const LIMITED_FROM_MS = 4000;
const LIMITED_TO_MS = 14_000;
const SETTLING_MS = 3000;
const WINDOW_MS = 4000;
const LIMIT = 2;
const TOLERATED = LIMIT * (WINDOW_MS / 1000) * 1.5 + 5;

/** Uses half of the slots of 18 targets; a share of the targets works with one slot and advertises a limit for ten seconds. */
const lookups = (
  seed: number,
  share: number,
  instancesPerRegion: number,
  honorsTargetSignals: boolean,
) => {
  const arrivals = new Map<number, number[]>();
  const isLimited = (target: number) => isAffected(target, share);
  const report = simulateLoad({
    seed,
    ...LOOKUPS,
    instancesPerRegion,
    honorsTargetSignals,
    onArrival: (target, at) => {
      const isCounted = at > LIMITED_FROM_MS + SETTLING_MS && at < LIMITED_TO_MS;
      if (isCounted && isLimited(target))
        arrivals.set(target, [...(arrivals.get(target) ?? []), at]);
    },
    disturb: (at, targets) =>
      targets.forEach((target, i) => {
        const now = isLimited(i) && at >= LIMITED_FROM_MS && at < LIMITED_TO_MS;
        target.availableSlots = now ? 1 : SLOTS;
        target.limitPerSecond = now ? LIMIT : undefined;
      }),
  });
  const maxArrivals = Math.max(
    0,
    ...[...arrivals.values()].map((times) => maxInWindow(times, WINDOW_MS)),
  );
  return { report, maxArrivals };
};

describe('while targets advertise a rate limit', () => {
  it.each([
    [1 / 6, 3],
    [1 / 3, 3],
    [1 / 3, 20],
  ])(
    'the limit is kept within its tolerance and callers earn more credit; %d of the targets limited, %d instances per region',
    (share, instances) => {
      // Guards against instances that keep overloading limited targets at the expense of their callers.
      const ignoring = lookups(1, share, instances, false);
      const honoring = lookups(1, share, instances, true);
      console.log(
        `${share.toFixed(2)}, ${instances}: credit ${honoring.report.credit.toFixed(3)} (${ignoring.report.credit.toFixed(3)} without), rejected ${honoring.report.rejected} (${ignoring.report.rejected}), most in 4 s ${honoring.maxArrivals} (${ignoring.maxArrivals}) of ${TOLERATED}`,
      );
      expect(ignoring.maxArrivals).toBeGreaterThan(TOLERATED);
      expect(honoring.maxArrivals).toBeLessThanOrEqual(TOLERATED);
      expect(honoring.report.credit).toBeGreaterThan(ignoring.report.credit);
    },
  );

  it('honouring limits changes nothing when no target advertises one', () => {
    const ignoring = lookups(2, 0, 3, false);
    const honoring = lookups(2, 0, 3, true);
    expect(honoring.report).toEqual(ignoring.report);
  });
});
