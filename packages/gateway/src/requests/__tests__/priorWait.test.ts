/** Lower bound of the time that callers have waited before an attempt. */
import { describe, expect, it } from 'vitest';
import { routeName } from '@cardamomladder/types';
import { PriorWaitEstimator } from '../priorWait';

const lookups = routeName('lookups');

describe('the estimated wait before an attempt', () => {
  it('is the difference between its timeout and the shortest plausible initial one', () => {
    const estimator = new PriorWaitEstimator();
    const timeouts = [4000, 4600, 3400, 2000, 300];
    expect(timeouts.map((ms) => Math.round(estimator.estimate(lookups, ms)))).toEqual([
      0, 0, 0, 1220, 2920,
    ]);
    expect(estimator.estimate(routeName('other'), 300)).toBe(0);
  });
});
