export type {
  Brand,
  CallerDigest,
  ConfigurationVersion,
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
  TargetId,
  TargetRun,
} from './ids';
export {
  callerDigest,
  configurationVersion,
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
  targetId,
  targetRun,
} from './ids';
export type { AnsweredRequest, AskedRequest, CrashReport, TargetCrash } from './crashes';
export { splitAddress } from './address';
export { pause } from './pause';
export type { FailureKind, SchemaIssue } from './errors';
export { Failure, describeIssues, failure, fieldPath } from './errors';
