/** One instance's equal share of the guaranteed part of a limit, which is used without a lender. */
import { instanceRank } from '@cardamomladder/steering';
import type { CustomerName, InstanceId } from '@cardamomladder/types';
import type { RateLimit } from '../customer';

const NO_SHARE: RateLimit = { perSecond: 0, burst: 0 };

/**
 * The share of `self` among `instances` (`size`, by which the limit is divided,
 * may be greater than their number). A share below one token could never be
 * used, so a small limit is divided among fewer instances, the same in the view
 * of every instance.
 */
export const guaranteedShare = (
  customer: CustomerName,
  guaranteed: RateLimit,
  self: InstanceId,
  instances: readonly InstanceId[],
  size: number,
): RateLimit => {
  if (!instances.includes(self)) return NO_SHARE;
  const sharerCount = Math.max(1, Math.min(size, Math.floor(guaranteed.burst)));
  if (sharerCount < size && instanceRank(customer, self, instances) >= sharerCount) return NO_SHARE;
  return { perSecond: guaranteed.perSecond / sharerCount, burst: guaranteed.burst / sharerCount };
};
