/** One instance's even share of what needs no lending. */
import { fleetRank } from '@cardamomladder/steering';
import type { CustomerName, InstanceId } from '@cardamomladder/types';
import type { RateLimit } from '../customer';

const NOTHING: RateLimit = { perSecond: 0, burst: 0 };

/**
 * The share of `self` among the instances that take callers (`size`, which may
 * count more than `holders` names). A share below one token could never be
 * used, so a small limit goes to fewer instances, alike at all.
 */
export const floorShare = (
  customer: CustomerName,
  floor: RateLimit,
  self: InstanceId,
  holders: readonly InstanceId[],
  size: number,
): RateLimit => {
  if (!holders.includes(self)) return NOTHING;
  const sharing = Math.max(1, Math.min(size, Math.floor(floor.burst)));
  if (sharing < size && fleetRank(customer, self, holders) >= sharing) return NOTHING;
  return { perSecond: floor.perSecond / sharing, burst: floor.burst / sharing };
};
