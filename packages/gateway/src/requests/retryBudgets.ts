/** Retry budgets of this instance, one per service, created on first use. */
import type { InstanceSettings } from '@cardamomladder/settings';
import { RetryBudget } from '@cardamomladder/steering';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import type { InstanceId, ServiceName } from '@cardamomladder/types';
import { sleep } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { RepeatDecision } from './repeatCounts';
import { RepeatCounts } from './repeatCounts';
import type { ClaimStore } from './retryReserve';
import { createRetryReserve } from './retryReserve';

const MS_PER_SECOND = 1000;
/** How long a repeat waits for a claim, ms: a read and a write over the longest distance, and once more. */
const CLAIM_WAIT_MS = 300;

/** A repeat that was taken from the budget. */
export interface Withdrawal {
  /** Puts it back, as the repeat could not be sent. */
  refund: () => void;
}

/** The repeats of one service at this instance. */
export interface ServiceRetries {
  /** Counts a caller's request for the service. */
  countRequest: () => void;
  /** Counts a repeat that is sent free of charge, since the last send reached no target. */
  countFreeRepeat: () => void;
  /** Takes one repeat if the budget has one at hand. */
  tryWithdraw: () => Withdrawal | undefined;
  /** Takes one repeat, from the fleet's supply if need be; resolves within `CLAIM_WAIT_MS`. */
  withdraw: () => Promise<Withdrawal | undefined>;
}

/** Dependencies of the budgets. */
export interface RetryBudgetOptions {
  self: InstanceId;
  bounds: () => InstanceSettings['bounds'];
  store: ClaimStore;
  fleetSize: () => number;
  metrics: GatewayMetrics;
  log: DecisionLog;
  now: () => number;
}

const createServiceRetries = (
  service: ServiceName,
  startedAt: number,
  { self, bounds, store, fleetSize, metrics, log, now }: RetryBudgetOptions,
): ServiceRetries => {
  const { repeatRatio, repeatExtra, repeatWindowSeconds } = bounds();
  const windowMs = repeatWindowSeconds * MS_PER_SECOND;
  const bound = { ratio: repeatRatio, extra: repeatExtra, windowMs };
  const budget = new RetryBudget(bound, Math.random);
  const reserve = createRetryReserve({
    self,
    service,
    bound,
    budget,
    store,
    fleetSize,
    random: Math.random,
    log,
    now,
    unixNow: Date.now,
  });
  const counts = new RepeatCounts(service, windowMs, startedAt, (second) =>
    log.write('repeats', undefined, { ...second, fleetSize: fleetSize() }),
  );
  const count = (decision: RepeatDecision): void => {
    counts.countRepeat(decision, now());
    metrics.retryBudgetRequests.inc({ granted: decision === 'refused' ? 'no' : 'yes' });
  };
  const tryWithdraw = (): Withdrawal | undefined => {
    const refund = budget.take(now());
    if (!refund) return undefined;
    count('granted');
    return { refund };
  };
  let waiting = 0;
  const withdrawClaimed = async (until: number): Promise<Withdrawal | undefined> => {
    for (;;) {
      const wanted = { count: waiting, earlier: budget.hasEarlier(now()) };
      const replenished = now() < until ? reserve.replenish(wanted) : undefined;
      if (!replenished) return undefined;
      await Promise.race([replenished, sleep(until - now())]);
      const withdrawal = tryWithdraw();
      if (withdrawal) return withdrawal;
    }
  };
  return {
    countRequest: () => {
      counts.countRequest(now());
      budget.deposit(now());
    },
    countFreeRepeat: () => count('free'),
    tryWithdraw,
    withdraw: async () => {
      waiting += 1;
      const withdrawal = await withdrawClaimed(now() + CLAIM_WAIT_MS);
      waiting -= 1;
      if (!withdrawal) count('refused');
      return withdrawal;
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
