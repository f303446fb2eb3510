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
} from './records';
export type { BeliefChange, StoreRestored } from './clusterState';
export { Beliefs } from './clusterState';
export { ChangeLog } from './changeLog';
export type { Follower, FollowerEvent, FollowerOptions } from './follower';
export type {
  FollowedFacts,
  PeerAnswer,
  PeerQuestion,
  PeerWatch,
  SnapshotQuestion,
} from './peerQueries';
export type { StoreStatus } from './storeConnectivity';
export type { RegisteredInstance } from './relay';
export { relayCount, relaysFor } from './relay';
export type { UnpackFailure } from './packedRecords';
export { PackedChanges, PackedFacts, pack, unpackChanges, unpackFacts } from './packedRecords';
export { isEarlierEntry } from './recordFreshness';
export { strongOf } from './highCapacity';
export type { ForwardedReport, PassedReports, ReportMark } from './forwardedReports';
export { REPORTS_AT_A_TIME, isCovered } from './forwardedReports';
export { CrashReports, REPORT_RETENTION_MS } from './crashReports';
export { WATCH_WAIT_MS, follow } from './follower';
export type { Registration, RegistrationOptions } from './registration';
export { REGISTRATION_TTL_MS, RENEW_INTERVAL_MS, startRegistration } from './registration';
