export type {
  Fact,
  FactChange,
  FactChanges,
  FactList,
  FactRecord,
  InstanceCapacity,
  InstanceEntry,
  RegistrationLease,
  Store,
  StoreFailure,
  TargetEntry,
} from './facts';
export type { BeliefChange, StoreRestored } from './beliefs';
export { Beliefs } from './beliefs';
export { ChangeLog } from './changeLog';
export type { Follower, FollowerEvent, FollowerOptions } from './follower';
export type {
  FollowedFacts,
  PeerAnswer,
  PeerQuestion,
  PeerWatch,
  SnapshotQuestion,
} from './peerQuestions';
export type { StoreStatus } from './storeReach';
export type { RegisteredInstance } from './relay';
export { relayCount, relaysOf } from './relay';
export type { PackedFailure } from './packedFacts';
export { PackedChanges, PackedFacts, pack, unpackChanges, unpackFacts } from './packedFacts';
export { isEarlierEntry } from './restoredFacts';
export { strongOf } from './strong';
export type { PassedReport, PassedReports, ReportMark } from './passedReports';
export { REPORTS_AT_A_TIME, isCovered } from './passedReports';
export { CrashReports, REPORT_KEPT_MS } from './crashReports';
export { WATCH_WAIT_MS, follow } from './follower';
export type { Registration, RegistrationOptions } from './registration';
export { REGISTRATION_TTL_MS, RENEW_EVERY_MS, startRegistration } from './registration';
