export type { Claim } from './maxMinShares';
export { maxMinShares } from './maxMinShares';
export type { CustomerDemand, RouteDemand, ServiceDemand } from './demand';
export { largestOf } from './demand';
export type { ClaimantKind, Share } from './fairShares';
export { FairShares } from './fairShares';
export type {
  FairnessState,
  HeardDemand,
  OverShare,
  ShareDecision,
  ShareRequest,
} from './serviceFairness';
export { ServiceFairness } from './serviceFairness';
