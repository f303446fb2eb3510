export type { Split } from './shares';
export {
  splitDistance,
  moveToward,
  normalizeWeights,
  restrictToRegions,
  scheduledSplitAt,
} from './shares';
export type { TimedLoadReport, StalenessLimits, TargetLoad } from './headroom';
export { DEFAULT_STALENESS_LIMITS, estimateBusySlots, headroom } from './headroom';
export type { TargetChoice, RegionReserves, TargetView } from './service';
export { ServiceSteering } from './service';
export { LoadEstimate } from './placement/loadEstimate';
export { ReportStaleness } from './placement/reportStaleness';
export { coldShare } from './placement/coldShare';
export { instanceRank } from './placement/instanceRank';
export type { PeakEstimate } from './placement/peakResponseTime';
export { PeakResponseTime, overdueAfterMs } from './placement/peakResponseTime';
export type { AwaitedResponse } from './placement/responseTail';
export { ResponseTail } from './placement/responseTail';
export type { RepeatBound } from './placement/retryBudget';
export { RetryBudget } from './placement/retryBudget';
export type { ClaimStep, WantedRepeats } from './placement/retryClaims';
export { CLAIM_VALID_MS, NOTE_VALID_MS, RetryClaims } from './placement/retryClaims';
export { PriorityBaseline } from './placement/priorityBaseline';
export { UnansweredSends } from './placement/unansweredSends';
export { SlidingWindowCounter } from './placement/slidingWindowCounter';
export type { LimitShare, SharingInstances } from './placement/limitShare';
export { limitShare } from './placement/limitShare';
export type { LimitObservation } from './placement/advertisedLimit';
export { AdvertisedLimit } from './placement/advertisedLimit';
export type { TargetState, SelfReport, TargetInfo } from './placement/target';
export { disregardFailures, updateResponseMs, newTarget } from './placement/target';
export type { PlacementRequest, ServicePool } from './placement/pool';
export { usable } from './placement/pool';
export type { PlacementOutcome, RejectionReason } from './placement/place';
export { CrossRegionSpillover } from './placement/crossRegionSpillover';
export type { Locality } from './placement/homeShares';
export { homeShares } from './placement/homeShares';
export type { TargetSnapshot } from './placement/describeTargets';
export { describeTargets } from './placement/describeTargets';
export { place } from './placement/place';
export { RecentAnswers } from './quarantine/recentAnswers';
export type { Suspect } from './quarantine/attribution';
export { MIN_CRASHES_PER_CAUSE } from './quarantine/attribution';
export { Quarantine } from './quarantine/quarantine';
export { Rankings } from './placement/rankings';
export type {
  ClaimantKind,
  FairnessState,
  HeardDemand,
  OverShare,
  ServiceDemand,
  ShareDecision,
} from './fairness';
export { ServiceFairness, largestOf } from './fairness';
export type { AdmissionRequest, Judgement, RefusedRequest, Turn } from './admission';
export { NO_SPILLOVER, ServiceAdmission } from './admission';
export type { Ejection, EjectionChange, HeardPace, SlowFinding } from './pace';
export {
  FINDING_VALID_MS,
  MAX_PACE,
  ServicePace,
  atUsualPace,
  costRatio,
  lateAfterMs,
} from './pace';
