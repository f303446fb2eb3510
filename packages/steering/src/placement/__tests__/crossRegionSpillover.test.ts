/** Traffic that spills over to other regions changes at a bounded rate. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { CrossRegionSpillover } from '../crossRegionSpillover';

const WINDOW_MS = 2000;
const MAX_SHIFT = 0.15;
const REQUEST_INTERVAL_MS = 10;
const REQUESTS_PER_WINDOW = WINDOW_MS / REQUEST_INTERVAL_MS;

/**
 * Simulates a series of requests; returns the spilled fraction of each window, by the
 * window's start.
 */
const spilledFractions = (isFull: (at: number) => boolean, lengthMs = 24_000): number[] => {
  const spillover = new CrossRegionSpillover();
  const spilled = Array.from({ length: lengthMs / REQUEST_INTERVAL_MS }, (_, i) =>
    spillover.admit(i * REQUEST_INTERVAL_MS, isFull(i * REQUEST_INTERVAL_MS)),
  );
  return Array.from(
    { length: spilled.length - REQUESTS_PER_WINDOW },
    (_, from) =>
      spilled.slice(from, from + REQUESTS_PER_WINDOW).filter(Boolean).length / REQUESTS_PER_WINDOW,
  );
};
const windowChanges = (fractions: number[]) =>
  fractions.slice(REQUESTS_PER_WINDOW).map((fraction, i) => Math.abs(fraction - fractions[i]));

describe('cross-region spillover', () => {
  it('changes by less than the shift limit between consecutive windows, during and after a burst', () => {
    // Guards against a third of a region's requests changing regions within a
    // second: a burst fills all local targets for eight seconds, and each
    // request independently goes wherever there is capacity.
    const fractions = spilledFractions((at) => at >= 4000 && at < 12_000);
    expect(Math.max(...windowChanges(fractions))).toBeLessThan(MAX_SHIFT);
    expect(Math.max(...fractions)).toBeGreaterThan(0.25);
    expect(fractions.at(-1)).toBe(0);
  });

  it('stays under the shift limit for bursts of any length and spacing', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 200, max: 6000 }), { minLength: 2, maxLength: 8 }),
        (lengths) => {
          const ends = lengths.map((_, i) => lengths.slice(0, i + 1).reduce((a, b) => a + b));
          const isFull = (at: number) => ends.filter((end) => end <= at).length % 2 === 1;
          expect(Math.max(...windowChanges(spilledFractions(isFull, 16_000)))).toBeLessThan(
            MAX_SHIFT,
          );
        },
      ),
      { numRuns: 30, examples: [[[200, 4234, 1315, 5452, 3170, 200]], [[200, 5937, 463, 5991]]] },
    );
  });

  it('relieves a single full target immediately', () => {
    const spillover = new CrossRegionSpillover();
    const spilled = Array.from({ length: 200 }, (_, i) =>
      spillover.admit(i * REQUEST_INTERVAL_MS, i % 25 === 24),
    );
    expect(spilled.filter(Boolean).length).toBeGreaterThanOrEqual(6);
  });
});
