/** Repeats of a whole fleet, simulated in virtual time, against the bound on them. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { earnedAndClaimed, simulateRetries } from '..';
import { DISTURBED, play } from '../__fixtures__/retryPlays';

const SIZES = [1, 8, 300];
const RATES = [10, 40, 165];
const cases = Object.keys(DISTURBED).flatMap((name) =>
  SIZES.map((instances): [string, number] => [name, instances]),
);

describe('repeats of the whole fleet', () => {
  it.each(cases)('stay within the bound: %s, %d instances', (name, instances) => {
    // Guards against processes that start with a share their earlier life has spent.
    const ratios = RATES.map(
      (rate) =>
        simulateRetries(play(instances, rate, DISTURBED[name]), earnedAndClaimed).worst.ratio,
    );
    console.log(`${name}, ${instances}: ${ratios.map((r) => r.toFixed(2)).join(' ')}`);
    expect(Math.max(...ratios)).toBeLessThanOrEqual(1);
  });

  it('stay within the bound through any series of failures, kills, cuts, lapses and outages', () => {
    // Guards against combinations that no play above has.
    const at = fc.integer({ min: 12_000, max: 40_000 });
    const period = fc.record({ from: at, forMs: fc.integer({ min: 200, max: 9000 }) });
    const periods = fc.array(period, { maxLength: 3 });
    const fraction = fc.double({ min: 0.05, max: 1, noNaN: true });
    const count = (share: number, of: number) => Math.ceil(share * of);
    fc.assert(
      fc.property(
        fc.record({
          seed: fc.integer({ min: 1, max: 1e6 }),
          instances: fc.constantFrom(1, 3, 8, 30),
          rate: fc.constantFrom(...RATES),
          failing: fc.array(fc.tuple(period, fraction), { minLength: 1, maxLength: 4 }),
          kills: fc.array(fc.tuple(at, fraction), { maxLength: 6 }),
          cuts: fc.array(fc.tuple(period, fraction), { maxLength: 2 }),
          lapses: periods,
          outages: periods,
        }),
        ({ seed, instances, rate, failing, kills, cuts, lapses, outages }) => {
          const during = ({ from, forMs }: { from: number; forMs: number }) => ({
            from,
            to: from + forMs,
          });
          const plan = {
            failing: failing.map(([when, share]) => ({ ...during(when), share })),
            kills: kills.map(([when, share]) => ({
              at: when,
              count: count(share, instances),
              downMs: 500,
            })),
            cuts: cuts.map(([when, share]) => ({
              ...during(when),
              count: count(share, instances),
            })),
            lapses: lapses.map((when) => ({ ...during(when), known: 1 })),
            storeOutages: outages.map(during),
          };
          const { worst } = simulateRetries(
            play(instances, rate, () => plan, seed),
            earnedAndClaimed,
          );
          expect(worst.ratio).toBeLessThanOrEqual(1);
        },
      ),
      { numRuns: 150 },
    );
  });

  it.each(SIZES)('are not refused while few requests fail, %d instances', (instances) => {
    // Guards against a bound that is kept by refusing repeats which it allows.
    const calm = { failing: [{ from: 15_000, to: 45_000, share: 0.02 }] };
    const restarted = {
      failing: [{ from: 26_000, to: 45_000, share: 0.02 }],
      kills: [{ at: 25_000, count: instances, downMs: 500 }],
    };
    [calm, restarted].forEach((plan) => {
      const { asked, granted } = simulateRetries(
        play(instances, 165, () => plan),
        earnedAndClaimed,
      );
      console.log(`${instances}: ${granted} of ${asked}`);
      expect(granted).toBe(asked);
    });
  });

  it.each(SIZES)(
    'use what the bound allows when every request fails, %d instances',
    (instances) => {
      // Guards against the same.
      RATES.forEach((rate) => {
        const calm = simulateRetries(play(instances, rate), earnedAndClaimed);
        console.log(`${instances} at ${rate}: ${calm.worst.ratio.toFixed(2)}`);
        expect(calm.worst.ratio).toBeGreaterThanOrEqual(0.8);
      });
    },
  );
});
