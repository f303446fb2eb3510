export type {
  RecordValue,
  RecordChange,
  RecordChanges,
  RecordList,
  StoreRecord,
  InstanceCapacity,
  InstanceEntry,
  RegistrationLease,
  Store,
  StoreFailure,
  TargetEntry,
} from './records';
export type { ClusterStateChange, StoreRestored } from './clusterState';
export { ClusterState } from './clusterState';
export { ChangeLog } from './changeLog';
export type { Follower, FollowerEvent, FollowerOptions } from './follower';
export type {
  RelayedChanges,
  PeerRecords,
  PeerResponse,
  PeerQuery,
  PeerWatch,
  SnapshotQuery,
} from './peerQueries';
export type { StoreStatus } from './storeConnectivity';
export type { RegisteredInstance } from './relay';
export { relayCount, relaysFor } from './relay';
export type { UnpackFailure } from './packedRecords';
export {
  PackedChangesCache,
  PackedListCache,
  isWorthPacking,
  pack,
  unpackChanges,
  unpackList,
} from './packedRecords';
export { isEarlierEntry } from './recordFreshness';
export { highCapacityInstances } from './highCapacity';
export type { ForwardedReport, ForwardedReports, ReportCursor } from './forwardedReports';
export { MAX_REPORTS_PER_EXCHANGE, hasAllReports } from './forwardedReports';
export { CrashReports, REPORT_RETENTION_MS } from './crashReports';
export { WATCH_WAIT_MS, follow } from './follower';
export type { Registration, RegistrationOptions } from './registration';
export { REGISTRATION_TTL_MS, RENEW_INTERVAL_MS, startRegistration } from './registration';
export { areReadableChanges, isReadablePosition } from './readableRecords';
