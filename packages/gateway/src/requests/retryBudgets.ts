/** Retry budgets of this instance, one per service, created on first use. */
import type { InstanceSettings } from '@cardamomladder/settings';
import { RetryBudget } from '@cardamomladder/steering';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { ServiceName } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { RepeatDecision } from './repeatCounts';
import { RepeatCounts } from './repeatCounts';

const MS_PER_SECOND = 1000;

/** The repeats of one service at this instance. */
export interface ServiceRetries {
  /** Counts a caller's request for the service. */
  countRequest: () => void;
  /** Counts a repeat that is sent free of charge, since the last send reached no target. */
  countFreeRepeat: () => void;
  /** Asks the budget for one repeat. */
  withdraw: () => boolean;
}

/** Dependencies of the budgets. */
export interface RetryBudgetOptions {
  bounds: () => InstanceSettings['bounds'];
  /** Number of instances that share the bound. */
  fleetSize: () => number;
  metrics: GatewayMetrics;
  log: DecisionLog;
  now: () => number;
}

const createServiceRetries = (
  service: ServiceName,
  startedAt: number,
  { bounds, fleetSize, metrics, log, now }: RetryBudgetOptions,
): ServiceRetries => {
  const { repeatRatio, repeatExtra, repeatWindowSeconds } = bounds();
  const windowMs = repeatWindowSeconds * MS_PER_SECOND;
  const budget = new RetryBudget({ ratio: repeatRatio, extra: repeatExtra, windowMs });
  const counts = new RepeatCounts(service, windowMs, startedAt, (second) =>
    log.write('repeats', undefined, { ...second, fleetSize: fleetSize() }),
  );
  const count = (decision: RepeatDecision): void => {
    counts.countRepeat(decision, now());
    metrics.retryBudgetRequests.inc({ granted: decision === 'refused' ? 'no' : 'yes' });
  };
  return {
    countRequest: () => {
      counts.countRequest(now());
      budget.deposit(now());
    },
    countFreeRepeat: () => count('free'),
    withdraw: () => {
      const granted = budget.tryWithdraw(now(), fleetSize());
      count(granted ? 'granted' : 'refused');
      return granted;
    },
  };
};

/** Returns a function that finds a service's budget; the bounds are read when the budget is created. */
export const createRetryBudgets = (
  options: RetryBudgetOptions,
): ((service: ServiceName) => ServiceRetries) => {
  const startedAt = options.now();
  const budgets = new Map<ServiceName, ServiceRetries>();
  return (service) => {
    const existing = budgets.get(service);
    if (existing) return existing;
    const created = createServiceRetries(service, startedAt, options);
    budgets.set(service, created);
    return created;
  };
};
