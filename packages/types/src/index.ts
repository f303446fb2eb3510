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
  RequestId,
  RequestKey,
  RouteName,
  ServiceName,
  SocketAddress,
  TargetId,
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
  requestId,
  requestKey,
  routeName,
  serviceName,
  socketAddress,
  targetId,
} from './ids';
export { splitAddress } from './address';
export type { FailureKind, SchemaIssue } from './errors';
export { Failure, describeIssues, failure, fieldPath } from './errors';
