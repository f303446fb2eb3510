export type {
  Brand,
  DocumentRevision,
  EntryId,
  FailureDomainName,
  KvKey,
  LeaseId,
  RegionName,
  RequestKey,
  ServiceName,
  TargetId,
} from './ids';
export {
  documentRevision,
  entryId,
  failureDomainName,
  kvKey,
  leaseId,
  regionName,
  requestKey,
  serviceName,
  targetId,
} from './ids';
export type { FailureKind, SchemaIssue } from './errors';
export { Failure, describeIssues, failure, fieldPath } from './errors';
