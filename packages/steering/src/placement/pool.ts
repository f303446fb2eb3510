/** The input of placement: one request, and the state of its service. */
import type { FailureDomainName, ObjectKey, RegionName, TargetId } from '@cardamomladder/types';
import type { CrossRegionSpillover } from './crossRegionSpillover';
import type { Locality } from './homeShares';
import type { LimitShare } from './limitShare';
import type { TargetState } from './target';

/** One request to be placed. */
export interface PlacementRequest {
  /** Requests with the same key go to the same targets. */
  key: ObjectKey;
  locality: Locality;
  /** Regions in which the request may run; empty means any region. */
  homeRegions: readonly RegionName[];
  /**
   * Latency objective in milliseconds: a response within this time is as good as an
   * immediate one.
   */
  objectiveMs?: number;
  /** Earlier attempts have already taken longer than the objective. */
  objectiveMissed?: boolean;
  /** The request is more urgent than most recent requests of the service. */
  urgent?: boolean;
  /** Targets that this request has already been sent to. */
  tried: ReadonlySet<TargetId>;
  now: number;
}

/** The state of one service: its targets and the conditions that apply to them. */
export interface ServicePool {
  targets: readonly TargetState[];
  /**
   * Changes whenever a target is added, removed or starts to leave, or an evacuation
   * begins or ends.
   */
  generation: number;
  ownRegion: RegionName;
  ownDomain: FailureDomainName;
  /** Each region's share of all requests. */
  demand: ReadonlyMap<RegionName, number>;
  /** Each failure domain's share of the local region's requests. */
  domainDemand: ReadonlyMap<FailureDomainName, number>;
  /** Limits the requests that spill over from full targets to other regions. */
  spillover: CrossRegionSpillover;
  evacuated: (failureDomain: FailureDomainName) => boolean;
  /** Requests per second this instance may send to the target while it is cold. */
  coldShare: (target: TargetState) => number;
  /**
   * This instance's share of a limit of `perSecond` requests per second that the
   * target advertises.
   */
  limitShare: (target: TargetState, perSecond: number) => LimitShare;
  /** Returns true if the target is ejected, as it is slow; by default none is. */
  ejected?: (target: TargetState, now: number) => boolean;
  /** Called when a request passes over an ejected target. */
  onPassedOver?: (target: TargetState) => void;
  /** Slots that the target has at its current pace; by default all. */
  slotsOf?: (target: TargetState, now: number) => number;
}

/** Returns true if the requests at a target, running or waiting, are below `perSlot` for each of its slots. */
export const hasCapacity = (
  target: TargetState,
  perSlot: number,
  pool: Pick<ServicePool, 'slotsOf'>,
  now: number,
): boolean => target.load.requestsAt(now) < (pool.slotsOf?.(target, now) ?? target.slots) * perSlot;

/** Returns true if a target may get any work. */
export const usable = (target: TargetState, pool: ServicePool): boolean =>
  !target.leaving && !target.selfReport.leaving && !pool.evacuated(target.failureDomain);

/**
 * Returns how long a pause or limit that the target asked for delays a request, ms;
 * 0 if it may be sent now.
 */
export const pauseMs = (target: TargetState, pool: ServicePool, now: number): number => {
  const { limit, pausedUntil } = target.selfReport;
  const remainingPauseMs = Math.max(0, pausedUntil - now);
  if (limit.perSecond === undefined) return remainingPauseMs;
  return Math.max(remainingPauseMs, limit.waitMs(pool.limitShare(target, limit.perSecond), now));
};
