export type { FaultProxy, ProxyFault } from './faultProxy';
export { startFaultProxy } from './faultProxy';
export type { SlowLink } from './slowLink';
export { startSlowLink } from './slowLink';
export type { PlannedFault } from './plan';
export {
  FAULT_KINDS,
  LEAVING_KINDS,
  NARROW_LINK_KINDS,
  PARTITION_KINDS,
  SLOW_TARGET_KINDS,
  SMALL_CHUNK_KINDS,
  STOP_KINDS,
  UNFRAMED_KINDS,
  WRITING_AHEAD_KINDS,
  planFaults,
  planLeavingCallers,
  planNarrowLinks,
  planPartitions,
  planSlowTargets,
  planSmallChunks,
  planStops,
  planUnframedAnswers,
  planWritingAhead,
} from './plan';
export type {
  ReceivedResponse,
  SentRequest,
  SoakRequestKind,
  ObservedRun,
  Violation,
} from './guarantees';
export { GuaranteeChecker, STORE, storePathOf } from './guarantees';
export { TargetSignalChecker } from './targetSignals';
export type { EndlessConnection } from './leavingCallers';
export { LeavingCallerChecker } from './leavingCallers';
export { UnframedAnswerChecker } from './unframedAnswers';
export { WholeAnswerChecker } from './wholeAnswers';
export { FaultHistory } from './faultHistory';
export { PartitionChecker } from './partitions';
export { RepeatChecker } from './repeats';
