/** Ways in which instances keep to the fleet-wide bound on repeats. */
import { RetryBudget } from '@cardamomladder/steering';
import type { RetryStrategy } from './retrySimulation';

/** Fleet size that an instance assumes at least, for a while after its start. */
const ASSUMED_FLEET_SIZE = 10;
const SETTLE_MS = 6000;

/** Each instance takes an equal share of the fixed number, whole from its start on. */
export const equalShares: RetryStrategy =
  ({ bound, events, knownInstances }) =>
  () => {
    const budget = new RetryBudget(bound);
    const startedAt = events.now;
    const fleetSize = () =>
      Math.max(
        events.now - startedAt < SETTLE_MS ? ASSUMED_FLEET_SIZE : 1,
        knownInstances(startedAt),
      );
    return {
      deposit: () => budget.deposit(events.now),
      withdraw: (decide) => decide(budget.tryWithdraw(events.now, fleetSize())),
    };
  };
