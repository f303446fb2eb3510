/** Bookings while some targets are slow, simulated in virtual time. */
import { describe, expect, it } from 'vitest';
import { productionPolicy, simulateLoad } from '..';

const SLOW_FROM_MS = 6000;
const SLOW_TO_MS = 14_000;
const SLOWDOWN = 12;

/** Uses two thirds of the slots of 112 targets, with most callers in other regions and long service times for uncached objects. */
const bookings = (seed: number, slowShare: number, detectsStalledTargets: boolean) =>
  simulateLoad({
    seed,
    targetsPerRegion: { rvk: 11, aey: 46, egs: 55 },
    target: {
      slots: 6,
      queueCapacity: 18,
      serviceTimeMs: 1160,
      cacheSavings: 0.7,
      cacheCapacity: 20,
    },
    objectsPerRegion: 263,
    instancesPerRegion: 4,
    skew: 0.2,
    rate: () => 246,
    durationMs: 16_000,
    objectiveMs: 847,
    deadlineMs: 3000,
    interRegionDelayMs: 20,
    policy: productionPolicy,
    detectsStalledTargets,
    disturb: (at, targets) =>
      targets.forEach((target, i) => {
        const isSlow = at > SLOW_FROM_MS && at < SLOW_TO_MS && i % 10 < slowShare * 10;
        target.slowdown = isSlow ? SLOWDOWN : 1;
      }),
  });

describe('while targets are slow', () => {
  it.each([0.1, 0.2])(
    'callers earn more credit if unresponsive targets are avoided, %d of the targets slow',
    (share) => {
      // Guards against sending further requests to a target that has not responded for a long time.
      const baseline = bookings(1, share, false);
      const detecting = bookings(1, share, true);
      console.log(
        `${share}: credit ${detecting.credit.toFixed(3)} (${baseline.credit.toFixed(3)} without), rejected ${detecting.rejected} (${baseline.rejected})`,
      );
      expect(detecting.credit).toBeGreaterThan(baseline.credit);
      expect(detecting.rejected).toBeLessThan(baseline.rejected);
    },
  );

  it('avoiding unresponsive targets costs less than 0.01 credit when no target is slow', () => {
    const baseline = bookings(2, 0, false);
    const detecting = bookings(2, 0, true);
    console.log(
      `no slow targets: credit ${detecting.credit.toFixed(3)} (${baseline.credit.toFixed(3)} without)`,
    );
    expect(detecting.credit).toBeGreaterThan(baseline.credit - 0.01);
  });
});
