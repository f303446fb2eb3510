export type { Split } from './shares';
export {
  splitDistance,
  moveToward,
  normalizeWeights,
  restrictToRegions,
  scheduledSplitAt,
} from './shares';
export type { LoadReport, StalenessLimits, TargetLoad } from './headroom';
export { DEFAULT_STALENESS_LIMITS, estimateBusySlots, headroom } from './headroom';
export type { TargetChoice, RegionReserves, TargetView } from './service';
export { ServiceSteering } from './service';
export { LoadEstimate } from './placing/loadEstimate';
export { ReportStaleness } from './placing/reportStaleness';
export { coldShare } from './placing/coldShare';
export { fleetRank } from './placing/fleetRank';
export type { PeakEstimate } from './placing/peakResponseTime';
export { PeakResponseTime, overdueAfterMs } from './placing/peakResponseTime';
export type { RepeatBound } from './placing/repeatBudget';
export { RepeatBudget } from './placing/repeatBudget';
export { PriorityBaseline } from './placing/priorityBaseline';
export { UnansweredSends } from './placing/unansweredSends';
export { SlidingWindowCounter } from './placing/slidingWindowCounter';
export type { LimitShare, SharingInstances } from './placing/limitShare';
export { limitShare } from './placing/limitShare';
export type { LimitObservation } from './placing/advertisedLimit';
export { AdvertisedLimit } from './placing/advertisedLimit';
export type { TargetState, SelfReport, TargetInfo } from './placing/target';
export { updateResponseMs, newTarget } from './placing/target';
export type { PlacementRequest, ServicePool } from './placing/pool';
export type { PlacementOutcome, RejectionReason } from './placing/place';
export { CrossRegionSpillover } from './placing/crossRegionSpillover';
export type { Locality } from './placing/homeShares';
export { homeShares } from './placing/homeShares';
export type { TargetSnapshot } from './placing/describeTargets';
export { describeTargets } from './placing/describeTargets';
export { place } from './placing/place';
export { RecentAnswers } from './quarantine/recentAnswers';
export type { Suspect } from './quarantine/attribution';
export { MIN_CRASHES_PER_CAUSE } from './quarantine/attribution';
export { Quarantine } from './quarantine/quarantine';
export { Rankings } from './placing/rankings';
