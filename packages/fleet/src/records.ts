/**
 * Data model of the records in the platform's store, and the interface through
 * which instances access it. Records are plain data, so that peers can forward
 * them to an instance that cannot reach the store.
 */
import type { ResultAsync } from 'neverthrow';
import type { Observable } from 'rxjs';
import type { Configuration } from '@cardamomladder/routing';
import type {
  ClaimableSlot,
  CrashReport,
  FailureDomainName,
  InstanceId,
  RegionName,
  ServiceName,
  SlotClaim,
  SocketAddress,
  StoreEpoch,
  StorePosition,
  TargetId,
} from '@cardamomladder/types';

/** A target's registry entry. */
export interface TargetEntry {
  id: TargetId;
  service: ServiceName;
  address: SocketAddress;
  failureDomain: FailureDomainName;
  slots: number;
  leaving: boolean;
  /** How long the target remains cold after the entry was written, ms. */
  coldForMs: number;
  /** Start time of this run of the target (Unix time, ms); unset if the target does not report it. */
  startedAt?: number;
  /** Number of writes of the entry by this run; starts low and increases. */
  writes: number;
}

/** Hardware capacity of an instance. */
export interface InstanceCapacity {
  /** Processor capacity, in cores of standard speed. */
  cores: number;
  /** Network link capacity, Mbit/s. */
  linkMbps: number;
}

/** An instance's registry entry. */
export interface InstanceEntry {
  id: InstanceId;
  /** Address for callers. */
  callerAddress: SocketAddress;
  /** Address for peers. */
  peerAddress: SocketAddress;
  failureDomain: FailureDomainName;
  region: RegionName;
  capacity: InstanceCapacity;
  /** Set while it reaches no target and forwards its callers' requests to peers. */
  cutOff?: boolean;
}

/** The decoded value of a record; `invalid` stands for an entry that could not be decoded. */
export type RecordValue =
  | { kind: 'configuration'; configuration: Configuration }
  | { kind: 'target'; target: TargetEntry }
  | { kind: 'evacuation'; failureDomain: FailureDomainName }
  | { kind: 'instance'; instance: InstanceEntry }
  | { kind: 'crash-report'; report: CrashReport }
  | { kind: 'member'; id: InstanceId }
  | { kind: 'invalid'; problem: string };

/** A value with its key and the store revision at which it was last written. */
export interface StoreRecord {
  key: string;
  revision: number;
  fact: RecordValue;
}

/** A change to one key: the new record, or its removal. */
export type RecordChange = StoreRecord | { key: string; revision: number; removed: true };

/** All records as of at least `revision`. */
export interface RecordList extends StorePosition {
  records: StoreRecord[];
  /** Records that the store lost; some may be written again later. */
  missing?: StoreRecord[];
  /** Removed records that reappeared when the store was restored from an older copy; see `UnconfirmedRecords`. */
  doubted?: StoreRecord[];
}

/** Changes after the requested revision up to `revision`, in order. */
export interface RecordChanges extends StorePosition {
  changes: RecordChange[];
}

/**
 * A failed store call.
 * - `unavailable`: the call timed out or was rejected; the outcome of a write is
 *   unknown.
 * - `history-gone`: the requested changes have been compacted or are too many to be
 *   transferred in time, or the response predates a restore of the store; a new list
 *   is required.
 * - `lease-ended`: the lease is no longer held.
 * - `conflict`: the condition of a write does not hold; nothing was written.
 */
export interface StoreFailure {
  kind: 'unavailable' | 'history-gone' | 'lease-ended' | 'conflict';
  message: string;
}

/** A store lease that backs a registration. */
export interface RegistrationLease {
  id: number;
  ttlMs: number;
}

/** Client interface to the platform's store. Its methods return failures as results and do not throw. */
export interface Store {
  /** Lists all records from the store's latest state. */
  list: () => ResultAsync<RecordList, StoreFailure>;
  /** Waits up to `waitMs` for changes after `revision`. */
  watch: (revision: number, waitMs: number) => ResultAsync<RecordChanges, StoreFailure>;
  /** Grants a lease that expires unless it is renewed. */
  grantLease: (ttlMs: number) => ResultAsync<RegistrationLease, StoreFailure>;
  renewLease: (id: number) => ResultAsync<void, StoreFailure>;
  /** Revokes a lease and removes the entries registered under it. */
  endLease: (id: number) => ResultAsync<void, StoreFailure>;
  /**
   * Writes the instance's entry under a lease and returns the store position of the
   * write. With `asMember`, the same write records without a lease that the instance
   * belongs to the fleet, for instances that start while entries have lapsed.
   */
  register: (
    instance: InstanceEntry,
    leaseId: number,
    asMember: boolean,
  ) => ResultAsync<StorePosition, StoreFailure>;
  memberKey: (id: InstanceId) => string;
  /** Removes the records of members; ids without a record are ignored. */
  removeMembers: (ids: readonly InstanceId[]) => ResultAsync<void, StoreFailure>;
  /** Returns the key of an instance's entry, used to detect its removal. */
  instanceKey: (id: InstanceId) => string;
  /** Writes a crash report without a lease; the write is idempotent. */
  fileReport: (id: string, report: CrashReport) => ResultAsync<void, StoreFailure>;
  reportKey: (id: string) => string;
  /** Extracts the report id from its key. */
  reportId: (key: string) => string;
  /** Removes reports by key; keys that no longer exist are ignored. */
  removeReports: (keys: readonly string[]) => ResultAsync<void, StoreFailure>;
  /** Reads the claims of a service's shared repeats. */
  readRetryClaims: (service: ServiceName) => ResultAsync<SlotClaim[], StoreFailure>;
  /**
   * Claims slots of a service's shared repeats, all or none; `claimedAt` is the time of
   * day, ms. Written without a lease: a claim must outlive the instance and any outage.
   * Returns the store revision of the claims.
   */
  claimRetries: (
    service: ServiceName,
    slots: readonly ClaimableSlot[],
    claimedAt: number,
  ) => ResultAsync<number, StoreFailure>;
  /** Emits when a response carries a later epoch than all previous responses. */
  epochs: Observable<StoreEpoch>;
  /** Closes open connections. */
  close: () => void;
}
