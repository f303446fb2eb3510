/**
 * Divides what a cold target tolerates among all instances. A cold target
 * crashes when the fleet together sends too much; no instance sees what the
 * others send, so each keeps to a share that sums to less than the bound
 * whatever the others do. The shares are whole requests per second: the
 * division's remainder goes to the instances that rank first for the target,
 * so that a fleet larger than the bound still warms each target up.
 */
import { fleetRank } from './fleetRank';

/** Part of the tolerated rate that is used; the rest covers instances that count the fleet differently. */
export const COLD_RATE_USED = 0.9;

/** Requests per second that `self` may send to a cold target, given all instances (with self). */
export const coldShare = (
  targetId: string,
  self: string,
  instances: readonly string[],
  toleratedPerSecond: number,
): number => {
  const budget = Math.floor(toleratedPerSecond * COLD_RATE_USED);
  const fleet = Math.max(1, instances.length);
  const base = Math.floor(budget / fleet);
  const remainder = budget - base * fleet;
  return base + (fleetRank(targetId, self, instances) < remainder ? 1 : 0);
};
