/**
 * Shares of fleet-wide bounds: the sum over all instances stays within the bound,
 * whatever each instance sees of its own traffic.
 */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { LoadEstimate, REPORT_FRESH_MS } from '../loadEstimate';
import { MIN_REPORT_STALE_MS } from '../reportStaleness';
import { coldShare } from '../coldShare';
import { RetryBudget } from '../retryBudget';
import { SlidingWindowCounter } from '../slidingWindowCounter';

const names = (n: number) => Array.from({ length: n }, (_, i) => `instance-${i}`);

describe('cold shares', () => {
  it('sum to at most the tolerated rate, and to more than zero at any fleet size', () => {
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

describe('retry budgets', () => {
  it('keep the fleet within the ratio and the extra repeats in every window', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.integer({ min: 0, max: 8 }), fc.boolean()), { maxLength: 400 }),
        (events) => {
          const bound = { ratio: 0.2, extra: 58, windowMs: 10_000 };
          const budgets = names(9).map(() => new RetryBudget(bound, () => 0.5));
          budgets.forEach((budget) => {
            budget.allowEarned(0);
            budget.allowEarlier(Infinity);
          });
          let requests = 0;
          let repeats = 0;
          events.forEach(([at, wantsRepeat], i) => {
            const now = i * 20;
            budgets[at].deposit(now);
            requests += 1;
            if (wantsRepeat && budgets[at].tryWithdraw(now)) repeats += 1;
          });
          expect(repeats).toBeLessThanOrEqual(bound.ratio * requests + bound.extra);
        },
      ),
    );
  });
});

describe('a sliding window counter', () => {
  it('never counts fewer events than happened in the window', () => {
    fc.assert(
      fc.property(fc.array(fc.integer({ min: 0, max: 400 }), { maxLength: 60 }), (gaps) => {
        const counter = new SlidingWindowCounter(1000);
        const times: number[] = [];
        let now = 0;
        gaps.forEach((gap) => {
          now += gap;
          times.push(now);
          counter.add(now);
          const actual = times.filter((t) => t > now - 1000).length;
          expect(counter.total(now)).toBeGreaterThanOrEqual(actual);
        });
      }),
    );
  });
});

describe('the load estimate', () => {
  it('adds own requests to those of other instances in the last report, which decay', () => {
    // Guards against a target that stays unused long after it has capacity: its
    // last report said it was full, so nothing is sent to it, and no newer report
    // arrives.
    const load = new LoadEstimate();
    load.ownRequests = 2;
    load.recordReport(6, 1, 0);
    load.ownRequests = 4;
    const at = [
      0,
      REPORT_FRESH_MS,
      (REPORT_FRESH_MS + MIN_REPORT_STALE_MS) / 2,
      MIN_REPORT_STALE_MS,
    ];
    expect(at.map((now) => load.requestsAt(now))).toEqual([9, 9, 6.5, 4]);
  });
});
