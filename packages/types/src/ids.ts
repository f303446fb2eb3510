/**
 * Branded id types. The brand makes the compiler reject, for example, a
 * service name where a failure domain is expected. It has no run-time cost.
 */
declare const brand: unique symbol;

/** A primitive type tagged with a name, so that differently tagged types are not assignable to each other. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

/** A service in the operators' configuration document, such as `stada` or `gatebook`. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** A region, such as `akureyri` or `canterbury`. */
export type RegionName = Brand<string, 'RegionName'>;
/** A failure domain, such as `rvk-a` or `christchurch-b`. */
export type FailureDomainName = Brand<string, 'FailureDomainName'>;
/** A target (upstream instance) of a service, unique across the fleet. */
export type TargetId = Brand<string, 'TargetId'>;
/** An entry instance of cardamomladder, unique across the fleet. */
export type EntryId = Brand<string, 'EntryId'>;
/** A revision of the operators' configuration document; increases monotonically. */
export type DocumentRevision = Brand<number, 'DocumentRevision'>;
/** A running instance of cardamomladder, as identified by its peers and callers. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** A route in the operators' configuration. */
export type RouteName = Brand<string, 'RouteName'>;
/** A version of the operators' configuration; versions are compared numerically. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>;
/** A customer of the operators' services. */
export type CustomerName = Brand<string, 'CustomerName'>;
/** A secret with which a caller authenticates as belonging to a customer. */
export type ApiKey = Brand<string, 'ApiKey'>;
/** Identifies the object that a request concerns; all requests for that object carry the same key. */
export type ObjectKey = Brand<string, 'ObjectKey'>;
/** A caller's id for one attempt of a request; unique per attempt. */
export type RequestId = Brand<string, 'RequestId'>;
/** A digest of a request's content, independent of the caller and the same for every attempt. */
export type RequestDigest = Brand<string, 'RequestDigest'>;
/** A digest that identifies the caller as far as an instance can tell callers apart. */
export type CallerDigest = Brand<string, 'CallerDigest'>;
/** One run of a target process, from start to exit. */
export type TargetRun = Brand<string, 'TargetRun'>;
/** A `host:port` address to connect to. */
export type SocketAddress = Brand<string, 'SocketAddress'>;
/** A key in the platform's key-value store. */
export type KvKey = Brand<string, 'KvKey'>;
/** Counts how often the platform's store was restored from an older copy; revisions from different epochs are not comparable. */
export type StoreEpoch = Brand<number, 'StoreEpoch'>;
/** A lease granted by the platform's key-value store. */
export type LeaseId = Brand<string, 'LeaseId'>;
/** A caller's idempotency key for a non-idempotent request. */
export type RequestKey = Brand<string, 'RequestKey'>;

/** Tags a plain string as a service name without validating it. */
export const serviceName = (value: string): ServiceName => value as ServiceName;
/** Tags a plain string as a region name without validating it. */
export const regionName = (value: string): RegionName => value as RegionName;
/** Tags a plain string as a failure domain name without validating it. */
export const failureDomainName = (value: string): FailureDomainName => value as FailureDomainName;
/** Tags a plain string as a target id without validating it. */
export const targetId = (value: string): TargetId => value as TargetId;
/** Tags a plain string as a customer name without validating it. */
export const customerName = (value: string): CustomerName => value as CustomerName;
/** Tags a plain string as an API key without validating it. */
export const apiKey = (value: string): ApiKey => value as ApiKey;
/** Tags a plain string as an entry id without validating it. */
export const entryId = (value: string): EntryId => value as EntryId;
/** Tags a number as a document revision without validating it. */
export const documentRevision = (value: number): DocumentRevision => value as DocumentRevision;
/** Tags a plain string as a key in the platform's key-value store without validating it. */
export const kvKey = (value: string): KvKey => value as KvKey;
/** Tags a number as a store epoch without validating it. */
export const storeEpoch = (value: number): StoreEpoch => value as StoreEpoch;
/** Tags a plain string as a lease id without validating it. */
export const leaseId = (value: string): LeaseId => value as LeaseId;
/** Tags a plain string as a caller's idempotency key without validating it. */
export const requestKey = (value: string): RequestKey => value as RequestKey;
/** Tags a plain string as an instance id without validating it. */
export const instanceId = (value: string): InstanceId => value as InstanceId;
/** Tags a plain string as a route name without validating it. */
export const routeName = (value: string): RouteName => value as RouteName;
/** Tags a number as a configuration version without validating it. */
export const configurationVersion = (value: number): ConfigurationVersion =>
  value as ConfigurationVersion;
/** Tags a plain string as an object key without validating it. */
export const objectKey = (value: string): ObjectKey => value as ObjectKey;
/** Tags a plain string as a request id without validating it. */
export const requestId = (value: string): RequestId => value as RequestId;
/** Tags a plain string as a request digest without validating it. */
export const requestDigest = (value: string): RequestDigest => value as RequestDigest;
/** Tags a plain string as a caller digest without validating it. */
export const callerDigest = (value: string): CallerDigest => value as CallerDigest;
/** Identifies a run of a target by its start time (Unix time, ms). A target that does not report a start time has a new target id for each run. */
export const targetRun = (id: TargetId, startedAt: number | undefined): TargetRun =>
  `${id}@${startedAt ?? ''}` as TargetRun;
/** Tags a plain string as a socket address without validating it. */
export const socketAddress = (value: string): SocketAddress => value as SocketAddress;
