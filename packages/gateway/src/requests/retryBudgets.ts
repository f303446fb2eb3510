/** Retry budgets of this instance, one per service, created on first use. */
import type { InstanceSettings } from '@cardamomladder/settings';
import { RetryBudget } from '@cardamomladder/steering';
import type { ServiceName } from '@cardamomladder/types';

const MS_PER_SECOND = 1000;

/** Returns a function that finds a service's budget; the bounds are read when the budget is created. */
export const createRetryBudgets = (
  bounds: () => InstanceSettings['bounds'],
): ((service: ServiceName) => RetryBudget) => {
  const budgets = new Map<ServiceName, RetryBudget>();
  return (service) => {
    const existing = budgets.get(service);
    if (existing) return existing;
    const { repeatRatio, repeatExtra, repeatWindowSeconds } = bounds();
    const budget = new RetryBudget({
      ratio: repeatRatio,
      extra: repeatExtra,
      windowMs: repeatWindowSeconds * MS_PER_SECOND,
    });
    budgets.set(service, budget);
    return budget;
  };
};
