export type {
  ApiKey,
  Brand,
  CallerDigest,
  ConfigurationVersion,
  CustomerName,
  DocumentRevision,
  EntryId,
  FailureDomainName,
  InstanceId,
  KvKey,
  LeaseId,
  ObjectKey,
  RegionName,
  RequestDigest,
  RequestId,
  RequestKey,
  RouteName,
  ServiceName,
  SocketAddress,
  StoreEpoch,
  TargetId,
  TargetRun,
} from './ids';
export {
  apiKey,
  callerDigest,
  configurationVersion,
  customerName,
  documentRevision,
  entryId,
  failureDomainName,
  instanceId,
  kvKey,
  leaseId,
  objectKey,
  regionName,
  requestDigest,
  requestId,
  requestKey,
  routeName,
  serviceName,
  socketAddress,
  storeEpoch,
  targetId,
  targetRun,
} from './ids';
export type { AnsweredRequest, IssuedRequest, CrashReport, TargetCrash } from './crashes';
export { ExpiringMap } from './expiringMap';
export type { StorePosition } from './storePosition';
export { comparePositions, positionOf } from './storePosition';
export { isSocketAddress, splitAddress } from './address';
export { sleep } from './sleep';
export type { FailureKind, SchemaIssue } from './errors';
export { Failure, describeIssues, failure, fieldPath } from './errors';
export type { ClaimableSlot, SlotClaim } from './retryClaims';
