/** How long a repeat takes to be decided on. */
import { describe, expect, it } from 'vitest';
import { RetryBudget } from '../retryBudget';

const BOUND = { ratio: 0.2, extra: 60, windowMs: 10_000 };
const INTERVAL_MS = 25;
const CALM_MS = 24 * 3_600_000;
/** Time for which a turn of the event loop may take, ms. */
const MAX_TURN_MS = 50;

describe('the first repeat after calm hours', () => {
  it('takes no longer than any other', () => {
    // Guards against an event loop that stands still while what expired meanwhile is dropped.
    const budget = new RetryBudget(BOUND, () => 0.5);
    budget.allowEarned(0);
    for (let at = 0; at < CALM_MS; at += INTERVAL_MS) budget.deposit(at);
    const startedAt = performance.now();
    expect(budget.tryWithdraw(CALM_MS)).toBe(true);
    expect(performance.now() - startedAt).toBeLessThan(MAX_TURN_MS);
  });
});
