/**
 * Computes one instance's share of a limit that a target advertises for all instances
 * together.
 *
 * An overloaded target may accept fewer requests per second than there are instances.
 * No instance sees what the others send, and network partitions may separate them, so
 * each paces its own requests, and the rates sum to the limit. An idle instance may
 * send one request at once. If the fleet is so large that these requests alone could
 * exceed the tolerance, only some instances share the limit, different ones for each
 * target. The rest send an occasional request, from which they learn that the limit
 * has been lifted.
 */
import type { InstanceId } from '@cardamomladder/types';
import { instanceRank } from './instanceRank';

/**
 * What operators tolerate beyond a limit: a multiple of the limit within a window,
 * plus a fixed number of requests.
 */
const TOLERATED = { windowSeconds: 4, factor: 1.5, slack: 5 };
/**
 * Fraction of the tolerance that idle instances may use at once; the rest covers
 * instances that see the fleet differently.
 */
const IDLE_BURST_FRACTION = 0.8;
/**
 * Fraction of a limit that instances without a share may use together to detect that
 * it was lifted.
 */
const PROBE_FRACTION = 0.2;
/**
 * Rate assumed for a limit of zero, in requests per second; otherwise no instance
 * would learn that the limit was lifted.
 */
const MIN_PER_SECOND = 0.1;
const MS_PER_SECOND = 1000;

/** The instances that a limit is divided among. */
export interface SharingInstances {
  ids: readonly InstanceId[];
  /** Number of instances to divide by; at least the number of ids. */
  size: number;
}

/** The pacing of one instance. */
export interface LimitShare {
  /** Interval between requests, ms. */
  intervalMs: number;
  /**
   * Fraction of the interval, from 0 to 1, that the first request is delayed by, to
   * stagger the instances.
   */
  initialDelayFraction: number;
}

/** Returns how many of `size` instances may share a limit. */
export const sharerCount = (perSecond: number, size: number): number => {
  const { windowSeconds, factor, slack } = TOLERATED;
  const excess = perSecond * windowSeconds * (factor - 1) + slack;
  return Math.max(1, Math.min(size, Math.floor(excess * IDLE_BURST_FRACTION)));
};

/** Returns the share of `self` in the limit that target `id` advertises. */
export const limitShare = (
  id: string,
  self: InstanceId,
  { ids, size }: SharingInstances,
  perSecond: number,
): LimitShare => {
  const limit = Math.max(perSecond, MIN_PER_SECOND);
  const sharingCount = sharerCount(perSecond, size);
  const rank = instanceRank(id, self, ids);
  const hasShare = ids.includes(self) && rank < sharingCount;
  const groupSize = hasShare ? sharingCount : Math.max(1, size - sharingCount);
  const fraction = hasShare ? 1 : PROBE_FRACTION;
  const rankInGroup = hasShare ? rank : Math.max(0, rank - sharingCount);
  return {
    intervalMs: (groupSize / (limit * fraction)) * MS_PER_SECOND,
    initialDelayFraction: Math.min(1, (rankInGroup + 1) / groupSize),
  };
};
