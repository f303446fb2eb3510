export type {
  Brand,
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
export type { CrashReport, TargetCrash } from './crashes';
export { splitAddress } from './address';
export type { FailureKind, SchemaIssue } from './errors';
export { Failure, describeIssues, failure, fieldPath } from './errors';
