/**
 * Shares of fleet-wide bounds: whatever each instance sees of its own traffic,
 * the sum over all keeps the bound.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { Load, REPORT_FRESH_MS } from '../busyEstimate';
import { REPORT_STALE_MS } from '../reportFade';
import { coldShare } from '../coldAllowance';
import { RepeatBudget } from '../repeatBudget';
import { RollingCount } from '../rollingCount';

const names = (n: number) => Array.from({ length: n }, (_, i) => `instance-${i}`);

describe('cold shares', () => {
  it('sum to no more than the tolerated rate, and to some of it at any fleet size', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 120 }), fc.integer({ min: 2, max: 60 }), (n, rate) => {
        const fleet = names(n);
        const sum = fleet
          .map((self) => coldShare('target', self, fleet, rate))
          .reduce((a, b) => a + b, 0);
        expect(sum).toBeLessThanOrEqual(rate);
        expect(sum).toBeGreaterThan(0);
      }),
    );
  });
});

describe('repeat budgets', () => {
  it('keep the fleet within ratio and extra in every window', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.integer({ min: 0, max: 8 }), fc.boolean()), { maxLength: 400 }),
        (events) => {
          const bound = { ratio: 0.2, extra: 58, windowMs: 10_000 };
          const budgets = names(9).map(() => new RepeatBudget(bound));
          let requests = 0;
          let repeats = 0;
          events.forEach(([at, wants], i) => {
            const now = i * 20;
            budgets[at].earn(now);
            requests += 1;
            if (wants && budgets[at].spend(now, 9)) repeats += 1;
          });
          expect(repeats).toBeLessThanOrEqual(bound.ratio * requests + bound.extra);
        },
      ),
    );
  });
});

describe('a rolling count', () => {
  it('never counts less than what happened in the window', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 60 }), (gaps) => {
        const count = new RollingCount(1000);
        const times: number[] = [];
        let now = 0;
        gaps.forEach((gap) => {
          now += gap;
          times.push(now);
          count.add(now);
          const real = times.filter((t) => t > now - 1000).length;
          expect(count.total(now)).toBeGreaterThanOrEqual(real);
        });
      }),
    );
  });
});

describe('the busy estimate', () => {
  it('adds own requests to the last report of the others, which fades', () => {
    // Symptom: a target gets nothing long after it has room. Sequence: its
    // last report said "full", nothing is sent, so no report comes. Cause:
    // an old report was believed for good.
    const load = new Load();
    load.own = 2;
    load.takeReport(6, 1, 0);
    load.own = 4;
    const at = [0, REPORT_FRESH_MS, (REPORT_FRESH_MS + REPORT_STALE_MS) / 2, REPORT_STALE_MS];
    expect(at.map((now) => load.busyAt(now))).toEqual([9, 9, 6.5, 4]);
  });
});
