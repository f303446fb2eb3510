/** Which share of its objects a region keeps, and where the rest goes. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { homeShares } from '../homeShares';

const regions = ['north', 'south', 'west'] as const;
const mapOf = (amounts: readonly number[]) =>
  new Map(regions.map((region, i) => [region, amounts[i]]));
const amounts = fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 3, maxLength: 3 });
const sum = (values: Iterable<number>) => [...values].reduce((a, b) => a + b, 0);

describe('home shares', () => {
  it('keep all objects at home while home has its share of the slots, and distribute the rest by spare slots', () => {
    const demand = mapOf([1, 1, 1]);
    const shares = (home: (typeof regions)[number], capacity: number[]) =>
      [...homeShares('balanced', home, mapOf(capacity), demand)]
        .map(([region, share]) => `${region} ${share.toFixed(2)}`)
        .join(', ');
    expect(shares('north', [6, 6, 6])).toBe('north 1.00, south 0.00, west 0.00');
    expect(shares('north', [2, 6, 6])).toBe('north 0.43, south 0.29, west 0.29');
    expect(shares('south', [2, 6, 6])).toBe('south 1.00, north 0.00, west 0.00');
    expect(shares('north', [2, 4, 12])).toBe('north 0.33, south 0.00, west 0.67');
  });

  it('fill no region above the mean utilization if all instances follow them', () => {
    // Guards against one region rejecting requests while two others are idle:
    // a fixed weight keeps objects at home whatever the capacity there, and the
    // region with the fewest targets gets its full share of all requests.
    fc.assert(
      fc.property(amounts, amounts, (capacity, demand) => {
        const load = mapOf([0, 0, 0]);
        regions.forEach((home, i) => {
          homeShares('balanced', home, mapOf(capacity), mapOf(demand)).forEach((share, region) => {
            load.set(region, load.get(region)! + share * demand[i]);
          });
        });
        const mean = sum(demand) / sum(capacity);
        regions.forEach((region, i) => {
          expect(load.get(region)! / capacity[i]).toBeLessThanOrEqual(mean * 1.001);
        });
      }),
    );
  });

  it('sum to one, and give every region a share', () => {
    fc.assert(
      fc.property(
        fc.constantFrom('balanced', 'near'),
        amounts,
        amounts,
        (locality, capacity, demand) => {
          const shares = homeShares(locality, 'north', mapOf(capacity), mapOf(demand));
          expect(sum(shares.values())).toBeCloseTo(1, 4);
          expect(Math.min(...shares.values())).toBeGreaterThan(0);
        },
      ),
    );
  });
});
