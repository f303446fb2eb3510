/** The repeat budgets of all services at this instance, made as services are first asked for. */
import type { InstanceSettings } from '@cardamomladder/settings';
import { RepeatBudget } from '@cardamomladder/steering';
import type { ServiceName } from '@cardamomladder/types';

const MS_PER_SECOND = 1000;

/** Finds a service's budget under the bounds in force when it was first asked for. */
export const repeatBudgets = (
  bounds: () => InstanceSettings['bounds'],
): ((service: ServiceName) => RepeatBudget) => {
  const budgets = new Map<ServiceName, RepeatBudget>();
  return (service) => {
    const existing = budgets.get(service);
    if (existing) return existing;
    const { repeatRatio, repeatExtra, repeatWindowSeconds } = bounds();
    const budget = new RepeatBudget({
      ratio: repeatRatio,
      extra: repeatExtra,
      windowMs: repeatWindowSeconds * MS_PER_SECOND,
    });
    budgets.set(service, budget);
    return budget;
  };
};
