/**
 * What instances learn from the store, in the product's own terms. A fact is
 * plain data, so peers can pass it on to an instance that the store turns
 * away.
 */
import type { ResultAsync } from 'neverthrow';
import type { Observable } from 'rxjs';
import type { Configuration } from '@cardamomladder/routing';
import type {
  CrashReport,
  FailureDomainName,
  InstanceId,
  RegionName,
  ServiceName,
  SocketAddress,
  StoreEpoch,
  StoreMoment,
  TargetId,
} from '@cardamomladder/types';

/** A target's own entry in the registry. */
export interface TargetEntry {
  id: TargetId;
  service: ServiceName;
  address: SocketAddress;
  failureDomain: FailureDomainName;
  slots: number;
  leaving: boolean;
  /** How long it stays cold from when the entry was written, in ms. */
  coldForMs: number;
  /** When this run of the target started, Unix ms; unset where it does not say. */
  startedAt?: number;
  /** Counts the entry's writes by this run, from low numbers on. */
  writes: number;
}

/** What an instance's machine offers. */
export interface InstanceCapacity {
  /** Processor, in cores of ordinary speed. */
  cores: number;
  /** Its link, Mbit/s. */
  linkMbps: number;
}

/** An instance's own entry in the registry. */
export interface InstanceEntry {
  id: InstanceId;
  /** Where callers connect. */
  callerAddress: SocketAddress;
  /** Where peers connect. */
  peerAddress: SocketAddress;
  failureDomain: FailureDomainName;
  region: RegionName;
  capacity: InstanceCapacity;
}

/** One thing the store holds; `invalid` is an entry that could not be understood. */
export type Fact =
  | { kind: 'configuration'; configuration: Configuration }
  | { kind: 'target'; target: TargetEntry }
  | { kind: 'evacuation'; failureDomain: FailureDomainName }
  | { kind: 'instance'; instance: InstanceEntry }
  | { kind: 'crash-report'; report: CrashReport }
  | { kind: 'invalid'; problem: string };

/** A fact as it stands under its key at a revision of the store. */
export interface FactRecord {
  key: string;
  revision: number;
  fact: Fact;
}

/** A change of one key: its new record, or its removal. */
export type FactChange = FactRecord | { key: string; revision: number; removed: true };

/** All facts as of at least `revision`. */
export interface FactList extends StoreMoment {
  records: FactRecord[];
  /** Facts that the store lacks, perhaps only until they are written again. */
  missing?: FactRecord[];
  /** Facts that were removed, and that a store which came back from an older copy has again. */
  doubted?: FactRecord[];
}

/** Changes after the revision asked for, in order, up to `revision`. */
export interface FactChanges extends StoreMoment {
  changes: FactChange[];
}

/**
 * A store call that brought nothing. `unavailable`: no answer, or a refusal;
 * for a write the outcome is unknown. `history-gone`: the changes asked for
 * are no longer kept, or the answer is older than the store's return from an
 * older copy; list again. `lease-ended`: the lease is no longer held.
 */
export interface StoreFailure {
  kind: 'unavailable' | 'history-gone' | 'lease-ended';
  message: string;
}

/** A registration's lease in the store. */
export interface RegistrationLease {
  id: number;
  ttlMs: number;
}

/** The platform's store, as the product uses it. No call throws. */
export interface Store {
  /** Every fact, read from the store's newest state. */
  list: () => ResultAsync<FactList, StoreFailure>;
  /** Waits up to `waitMs` for changes after `revision`. */
  watch: (revision: number, waitMs: number) => ResultAsync<FactChanges, StoreFailure>;
  /** Grants a lease that ends by itself unless renewed. */
  grantLease: (ttlMs: number) => ResultAsync<RegistrationLease, StoreFailure>;
  /** Renews a lease. */
  renewLease: (id: number) => ResultAsync<void, StoreFailure>;
  /** Ends a lease; what is registered under it goes. */
  endLease: (id: number) => ResultAsync<void, StoreFailure>;
  /** Writes the instance's entry under a lease; tells the moment of the write. */
  register: (instance: InstanceEntry, leaseId: number) => ResultAsync<StoreMoment, StoreFailure>;
  /** Key of an instance's entry, to recognise its removal. */
  instanceKey: (id: InstanceId) => string;
  /** Writes a report of crashes for good; writing it twice changes nothing. */
  fileReport: (id: string, report: CrashReport) => ResultAsync<void, StoreFailure>;
  /** Key of a report. */
  reportKey: (id: string) => string;
  /** The id of the report under a key. */
  reportId: (key: string) => string;
  /** Removes reports by their keys; those that are gone already are passed over. */
  removeReports: (keys: readonly string[]) => ResultAsync<void, StoreFailure>;
  /** Emits each time that an answer comes from a later epoch than any before. */
  epochs: Observable<StoreEpoch>;
  /** Drops open connections. */
  close: () => void;
}
