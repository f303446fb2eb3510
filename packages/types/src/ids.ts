/**
 * Branded ids. A brand keeps a service name from being passed where a
 * failure domain is expected; the compiler rejects the mix-up, and the
 * brand costs nothing at run time.
 */
declare const brand: unique symbol;

/** A string or number tagged with the name of what it identifies. */
export type Brand<T, Name extends string> = T & { readonly [brand]: Name };

/** A service in the operators' document, such as `stada` or `gatebook`. */
export type ServiceName = Brand<string, 'ServiceName'>;
/** A region, such as `akureyri` or `canterbury`. */
export type RegionName = Brand<string, 'RegionName'>;
/** A failure domain, such as `rvk-a` or `christchurch-b`. */
export type FailureDomainName = Brand<string, 'FailureDomainName'>;
/** One upstream (target instance) of a service, unique across the fleet. */
export type TargetId = Brand<string, 'TargetId'>;
/** One entry instance of cardamomladder, unique across the fleet. */
export type EntryId = Brand<string, 'EntryId'>;
/** A revision of the operators' document; only ever grows. */
export type DocumentRevision = Brand<number, 'DocumentRevision'>;
/** One running instance of cardamomladder as its peers and callers know it. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** A route of the operators' configuration. */
export type RouteName = Brand<string, 'RouteName'>;
/** A version of the operators' configuration; versions compare as numbers. */
export type ConfigurationVersion = Brand<number, 'ConfigurationVersion'>;
/** A customer of the operators' services. */
export type CustomerName = Brand<string, 'CustomerName'>;
/** What a caller proves with that it belongs to a customer; a secret. */
export type ApiKey = Brand<string, 'ApiKey'>;
/** Names the object a request is about; requests for one object share it. */
export type ObjectKey = Brand<string, 'ObjectKey'>;
/** A caller's id for one attempt of a request, unique per attempt. */
export type RequestId = Brand<string, 'RequestId'>;
/** Stands for what a request asks, whoever asks it: the same for each attempt. */
export type RequestDigest = Brand<string, 'RequestDigest'>;
/** Stands for who asks, as far as an instance can tell. */
export type CallerDigest = Brand<string, 'CallerDigest'>;
/** One run of a target, from its start to its end. */
export type TargetRun = Brand<string, 'TargetRun'>;
/** A `host:port` that can be connected to. */
export type SocketAddress = Brand<string, 'SocketAddress'>;
/** A key in the platform key-value service. */
export type KvKey = Brand<string, 'KvKey'>;
/** Counts how often the platform's store came back from an older copy; revisions of two epochs can't be compared. */
export type StoreEpoch = Brand<number, 'StoreEpoch'>;
/** A lease granted by the platform key-value service. */
export type LeaseId = Brand<string, 'LeaseId'>;
/** A caller's idempotency key for a non-idempotent request. */
export type RequestKey = Brand<string, 'RequestKey'>;

/** Tags a plain string as a service name; no check is made. */
export const serviceName = (value: string): ServiceName => value as ServiceName;
/** Tags a plain string as a region name; no check is made. */
export const regionName = (value: string): RegionName => value as RegionName;
/** Tags a plain string as a failure domain name; no check is made. */
export const failureDomainName = (value: string): FailureDomainName => value as FailureDomainName;
/** Tags a plain string as a target id; no check is made. */
export const targetId = (value: string): TargetId => value as TargetId;
/** Tags a plain string as a customer's name; no check is made. */
export const customerName = (value: string): CustomerName => value as CustomerName;
/** Tags a plain string as a key of a customer; no check is made. */
export const apiKey = (value: string): ApiKey => value as ApiKey;
/** Tags a plain string as an entry id; no check is made. */
export const entryId = (value: string): EntryId => value as EntryId;
/** Tags a number as a document revision; no check is made. */
export const documentRevision = (value: number): DocumentRevision => value as DocumentRevision;
/** Tags a plain string as a key in the platform KV; no check is made. */
export const kvKey = (value: string): KvKey => value as KvKey;
/** Tags a number as an epoch of the store; no check is made. */
export const storeEpoch = (value: number): StoreEpoch => value as StoreEpoch;
/** Tags a plain string as a lease id; no check is made. */
export const leaseId = (value: string): LeaseId => value as LeaseId;
/** Tags a plain string as a caller's idempotency key; no check is made. */
export const requestKey = (value: string): RequestKey => value as RequestKey;
/** Tags a plain string as an instance id; no check is made. */
export const instanceId = (value: string): InstanceId => value as InstanceId;
/** Tags a plain string as a route name; no check is made. */
export const routeName = (value: string): RouteName => value as RouteName;
/** Tags a number as a configuration version; no check is made. */
export const configurationVersion = (value: number): ConfigurationVersion =>
  value as ConfigurationVersion;
/** Tags a plain string as an object key; no check is made. */
export const objectKey = (value: string): ObjectKey => value as ObjectKey;
/** Tags a plain string as a request id; no check is made. */
export const requestId = (value: string): RequestId => value as RequestId;
/** Tags a plain string as a request digest; no check is made. */
export const requestDigest = (value: string): RequestDigest => value as RequestDigest;
/** Tags a plain string as a caller digest; no check is made. */
export const callerDigest = (value: string): CallerDigest => value as CallerDigest;
/** Names a target's run by its start, Unix ms; a target that does not tell it gets a new id with each run. */
export const targetRun = (id: TargetId, startedAt: number | undefined): TargetRun =>
  `${id}@${startedAt ?? ''}` as TargetRun;
/** Tags a plain string as a socket address; no check is made. */
export const socketAddress = (value: string): SocketAddress => value as SocketAddress;
