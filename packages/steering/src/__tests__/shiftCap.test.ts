/**
 * Property test of the traffic shift limit: entries that decide independently,
 * with different members and load reports, never shift traffic faster than
 * `maxShiftPerMinute`.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { ServiceSpec } from '@cardamomladder/document';
import type { RegionName, TargetId } from '@cardamomladder/types';
import { failureDomainName, regionName, targetId } from '@cardamomladder/types';
import type { Split } from '../shares';
import { splitDistance } from '../shares';
import { ServiceSteering } from '../service';

const REGIONS = ['reykjavik', 'akureyri', 'egilsstadir'].map(regionName);
const MAX_SHIFT_PER_MINUTE = 0.2;

const spec = (shares: number[], shift?: ServiceSpec['shift']): ServiceSpec => ({
  name: 'stada',
  idempotent: true,
  deadlineMs: 1000,
  maxAttempts: 3,
  maxShiftPerMinute: MAX_SHIFT_PER_MINUTE,
  warmupSeconds: 0,
  shares: Object.fromEntries(REGIONS.map((r, i) => [r, shares[i]])),
  shift,
});

const weightedAverage = (splits: Split[], weights: number[]): Split => {
  const total = weights.reduce((a, b) => a + b, 0);
  const sum = new Map<RegionName, number>();
  splits.forEach((s, i) =>
    s.forEach((v, r) => sum.set(r, (sum.get(r) ?? 0) + (v * weights[i]) / total)),
  );
  return sum;
};

/** Gives an entry its own subset of the targets, with its own load reports. */
const addTargets = (steering: ServiceSteering, seen: boolean[], busy: number[], now: number) => {
  REGIONS.forEach((region, r) => {
    for (let k = 0; k < 3; k += 1) {
      const index = r * 3 + k;
      // The first target of each region is always present: the loss of a whole
      // region is the one shift that the limit does not apply to (see service.ts).
      if (k > 0 && !seen[index]) continue;
      const id: TargetId = targetId(`t${index}`);
      steering.targets.set(id, {
        id,
        region,
        failureDomain: failureDomainName(`${region}-a`),
        address: '127.0.0.1:1',
        slots: 9,
        leaving: false,
        firstSeen: 0,
        avoidUntil: 0,
        load: { slots: 9, localInflight: 0, report: { inflight: busy[index], at: now } },
      });
    }
  });
};

describe('shift limit across independent entries', () => {
  it('shifts neither an entry nor the fleet faster than maxShiftPerMinute', () => {
    const share = fc.integer({ min: 0, max: 10 });
    fc.assert(
      fc.property(
        fc.array(fc.array(fc.boolean(), { minLength: 9, maxLength: 9 }), {
          minLength: 2,
          maxLength: 6,
        }),
        fc.array(fc.integer({ min: 1, max: 20 }), { minLength: 2, maxLength: 6 }),
        fc.array(
          fc.record({
            elapsedMs: fc.integer({ min: 10, max: 20_000 }),
            shares: fc.option(fc.tuple(share, share, share).filter(([a, b, c]) => a + b + c > 0)),
            busy: fc.array(fc.integer({ min: 0, max: 9 }), { minLength: 9, maxLength: 9 }),
          }),
          { minLength: 1, maxLength: 40 },
        ),
        (views, rawWeights, steps) => {
          const n = Math.min(views.length, rawWeights.length);
          const weights = rawWeights.slice(0, n);
          let now = 1_000_000;
          let current = spec([1, 1, 1]);
          const entries = views.slice(0, n).map((seen) => {
            const s = new ServiceSteering(current, new Map());
            addTargets(s, seen, new Array(9).fill(0), now);
            s.tick(now);
            return s;
          });
          steps.forEach((step) => {
            const before = entries.map((e) => e.currentSplit);
            now += step.elapsedMs;
            if (step.shares) {
              current = spec(step.shares, { from: Object.fromEntries(before[0]), startedAt: now });
              entries.forEach((e) => e.setSpec(current, new Map()));
            }
            entries.forEach((e, i) => {
              addTargets(e, views[i], step.busy, now);
              e.tick(now);
            });
            const allowed = (MAX_SHIFT_PER_MINUTE * step.elapsedMs) / 60_000 + 1e-9;
            entries.forEach((e, i) =>
              expect(splitDistance(before[i], e.currentSplit)).toBeLessThanOrEqual(allowed),
            );
            expect(
              splitDistance(
                weightedAverage(before, weights),
                weightedAverage(
                  entries.map((e) => e.currentSplit),
                  weights,
                ),
              ),
            ).toBeLessThanOrEqual(allowed);
          });
        },
      ),
      { numRuns: 200, seed: 42 },
    );
  });
});
