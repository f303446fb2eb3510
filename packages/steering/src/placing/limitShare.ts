/**
 * One instance's share of a limit that a target names for all instances together.
 *
 * The load this answers: a target in need that takes a few requests a second,
 * fewer than there are instances. No instance sees what the others send, and
 * they may be cut apart, so each keeps a pace of its own, and the paces sum to
 * the limit. An instance that has been idle may send one request at once; where
 * the fleet is so large that these alone could exceed what is tolerated, only
 * some instances share the limit, others for each target, and the rest send a
 * request now and then, from which they learn that the limit has been lifted.
 */
import type { InstanceId } from '@cardamomladder/types';
import { fleetRank } from './fleetRank';

/** What operators tolerate beyond a limit: in a window, so many times the limit, and some requests besides. */
const TOLERATED = { windowSeconds: 4, factor: 1.5, slack: 5 };
/** Part of what is tolerated that idle instances may use at once; the rest covers instances that see the fleet differently. */
const IDLE_PART = 0.8;
/** Part of a limit that instances without a share may use together. */
const LISTENING_PART = 0.2;
/** A limit of zero is taken for this many requests a second, or nobody would hear that it has been lifted. */
const LEAST_PER_SECOND = 0.1;
const MS_PER_SECOND = 1000;

/** The instances among whom something is divided. */
export interface Sharers {
  ids: readonly InstanceId[];
  /** How many to divide by; at least as many as are named. */
  size: number;
}

/** The pace of one instance. */
export interface LimitShare {
  /** From one request to the next, ms. */
  intervalMs: number;
  /** From 0 to 1: which part of the interval the first request waits, so that the paces of instances differ. */
  phase: number;
}

/** How many of `size` instances may share a limit. */
export const sharersOf = (perSecond: number, size: number): number => {
  const { windowSeconds, factor, slack } = TOLERATED;
  const beyond = perSecond * windowSeconds * (factor - 1) + slack;
  return Math.max(1, Math.min(size, Math.floor(beyond * IDLE_PART)));
};

/** The share of `self` in the limit that target `id` names. */
export const limitShare = (
  id: string,
  self: InstanceId,
  { ids, size }: Sharers,
  perSecond: number,
): LimitShare => {
  const limit = Math.max(perSecond, LEAST_PER_SECOND);
  const sharing = sharersOf(perSecond, size);
  const rank = fleetRank(id, self, ids);
  const shares = ids.includes(self) && rank < sharing;
  const others = shares ? sharing : Math.max(1, size - sharing);
  const part = shares ? 1 : LISTENING_PART;
  const rankAmongOthers = shares ? rank : Math.max(0, rank - sharing);
  return {
    intervalMs: (others / (limit * part)) * MS_PER_SECOND,
    phase: Math.min(1, (rankAmongOthers + 1) / others),
  };
};
