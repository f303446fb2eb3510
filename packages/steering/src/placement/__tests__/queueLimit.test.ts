/** How long a target's queue may be. */
import { describe, expect, it } from 'vitest';
import { maxRequestsPerSlot } from '../queueLimit';

describe('the queue limit', () => {
  it('admits as many requests as can be answered within the objective, within bounds', () => {
    const limits = [
      [600, 345],
      [600, 200],
      [600, 1700],
      [undefined, 345],
      [600, undefined],
      [600, 0],
    ].map(([objectiveMs, usualMs]) => Number(maxRequestsPerSlot(objectiveMs, usualMs).toFixed(2)));
    expect(limits).toEqual([1.74, 2.2, 1.4, 1.8, 1.8, 1.8]);
  });
});
