/**
 * Divides the request rate that a cold target tolerates among all instances. A cold
 * target crashes when the fleet sends too much in total. No instance sees what the
 * others send, so each keeps to a share, and the shares sum to less than the bound
 * whatever the others do. Shares are whole requests per second: the remainder of the
 * division goes to the instances that rank first for the target, so that a fleet
 * larger than the bound still warms each target up.
 */
import { instanceRank } from './instanceRank';

/**
 * Fraction of the tolerated rate that is used; the rest covers instances that disagree
 * on the fleet size.
 */
export const COLD_RATE_UTILIZATION = 0.9;

/**
 * Returns the requests per second that `self` may send to a cold target. `instances`
 * includes `self`.
 */
export const coldShare = (
  targetId: string,
  self: string,
  instances: readonly string[],
  toleratedPerSecond: number,
): number => {
  const budget = Math.floor(toleratedPerSecond * COLD_RATE_UTILIZATION);
  const fleetSize = Math.max(1, instances.length);
  const base = Math.floor(budget / fleetSize);
  const remainder = budget - base * fleetSize;
  return base + (instanceRank(targetId, self, instances) < remainder ? 1 : 0);
};
