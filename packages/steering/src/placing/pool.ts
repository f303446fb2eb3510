/** What placing goes by: one request, and what is known of its service. */
import type { FailureDomainName, ObjectKey, RegionName, TargetId } from '@cardamomladder/types';
import type { HelpAbroad } from './helpAbroad';
import type { Locality } from './homeShares';
import type { LimitShare } from './limitShare';
import type { PlacedTarget } from './target';

/** What one request asks of placing. */
export interface Placement {
  /** Requests with the same key go to the same targets. */
  key: ObjectKey;
  locality: Locality;
  /** Regions in which the request may run; empty: anywhere. */
  homeRegions: readonly RegionName[];
  /** An answer within this time is as good as an instant one, ms. */
  objectiveMs?: number;
  /** The caller has already waited for longer than that, in attempts before. */
  lateAlready?: boolean;
  /** More urgent than most of the service's requests of late. */
  urgent?: boolean;
  /** Targets that already had this request. */
  tried: ReadonlySet<TargetId>;
  now: number;
}

/** What placing knows of one service: its targets and the conditions that bind them. */
export interface ServicePool {
  targets: readonly PlacedTarget[];
  /** Changes whenever a target is added or removed, starts to leave, or an evacuation begins or ends. */
  generation: number;
  ownRegion: RegionName;
  ownDomain: FailureDomainName;
  /** Each region's part of all requests. */
  demand: ReadonlyMap<RegionName, number>;
  /** Each failure domain's part of the own region's requests. */
  domainDemand: ReadonlyMap<FailureDomainName, number>;
  /** What goes to other regions to help out full targets. */
  helpAbroad: HelpAbroad;
  evacuated: (failureDomain: FailureDomainName) => boolean;
  /** Requests per second this instance may send to the target while it is cold. */
  coldShare: (target: PlacedTarget) => number;
  /** This instance's share of a limit of so many requests per second that the target names. */
  limitShare: (target: PlacedTarget, perSecond: number) => LimitShare;
}

/** True while a target may get work at all. */
export const usable = (target: PlacedTarget, pool: ServicePool): boolean =>
  !target.leaving && !target.selfReport.leaving && !pool.evacuated(target.failureDomain);

/** How long what the target said of itself keeps requests from it, ms; 0 when one may go at once. */
export const heldBackMs = (target: PlacedTarget, pool: ServicePool, now: number): number => {
  const { limit, restUntil } = target.selfReport;
  const restMs = Math.max(0, restUntil - now);
  if (limit.perSecond === undefined) return restMs;
  return Math.max(restMs, limit.waitMs(pool.limitShare(target, limit.perSecond), now));
};
