/**
 * This instance's replica of the store: the latest configuration, targets,
 * evacuations and peer instances. Updates are monotonic: a record that is not
 * newer than the current one is ignored, and so is a configuration whose version
 * is not above the active one. A late response or an outdated copy from a peer
 * therefore cannot revert the state. Revisions order records within one store
 * epoch; `StateUpdater` handles the transition between epochs.
 */
import { Subject } from 'rxjs';
import type { Configuration } from '@cardamomladder/routing';
import type {
  CrashReport,
  FailureDomainName,
  InstanceId,
  StoreEpoch,
  StorePosition,
  TargetId,
} from '@cardamomladder/types';
import { ExpiringMap, storeEpoch } from '@cardamomladder/types';
import type {
  RecordValue,
  RecordChange,
  RecordList,
  StoreRecord,
  InstanceEntry,
  TargetEntry,
} from './records';

/** How long removed records are retained, ms: far longer than the age of a copy from which the store is restored. */
const REMOVED_RETENTION_MS = 60_000;

/** Describes a restore of the store from an older copy, after the state has been moved to the new epoch. */
export interface StoreRestored extends StorePosition {
  /** The position up to which the store was followed before the restore. */
  followed: StorePosition;
  /** Keys that are present locally but missing from the restored store. */
  missing: readonly string[];
  /** Records that the restored store has in an earlier state. */
  outdated: readonly StoreRecord[];
}

/** A change to the cluster state, for subscribers and the log. */
export type ClusterStateChange =
  | { kind: 'configuration'; configuration: Configuration }
  | { kind: 'target'; target: TargetEntry; revision: number }
  | { kind: 'target-gone'; id: TargetId; revision: number }
  | { kind: 'evacuation'; failureDomain: FailureDomainName; active: boolean; revision: number }
  | { kind: 'instance'; instance: InstanceEntry; revision: number }
  | { kind: 'instance-gone'; id: InstanceId; revision: number }
  | ({ kind: 'restored' } & StoreRestored)
  | ({ kind: 'crash-report'; key: string; report: CrashReport } & StorePosition)
  | { kind: 'crash-report-gone'; key: string; revision: number }
  | { kind: 'member'; id: InstanceId }
  | { kind: 'member-gone'; id: InstanceId }
  | { kind: 'invalid'; key: string; problem: string };

const isRemoval = (change: RecordChange): change is Extract<RecordChange, { removed: true }> =>
  'removed' in change;

/** The cluster state as known to this instance; `changes` emits each change after it has been applied. */
export class ClusterState {
  readonly changes = new Subject<ClusterStateChange>();

  readonly instances = new Map<InstanceId, InstanceEntry>();

  /** Instances that belong to the fleet, whether or not their entries have lapsed. */
  readonly members = new Set<InstanceId>();

  readonly evacuated = new Set<FailureDomainName>();

  configuration: Configuration | undefined;

  /** The store epoch being followed. */
  epoch: StoreEpoch = storeEpoch(0);

  /** The store revision up to which changes have been applied; 0 before the first list. */
  revision = 0;

  /** Recently removed records in their last state; some may reappear when the store is restored from an older copy. */
  readonly removed: ExpiringMap<string, StoreRecord>;

  private readonly records = new Map<string, StoreRecord>();

  constructor(now: () => number = () => performance.now()) {
    this.removed = new ExpiringMap(REMOVED_RETENTION_MS, now);
  }

  /** The store position up to which changes have been applied. */
  get position(): StorePosition {
    return { epoch: this.epoch, revision: this.revision };
  }

  /** Number of records. */
  get size(): number {
    return this.records.size;
  }

  /** Lists all records. */
  list(): RecordList {
    return { records: [...this.records.values()], ...this.position };
  }

  /** Returns the local keys that are absent from `list`, i.e. records removed without an observed change. */
  keysMissingFrom(list: RecordList): string[] {
    const listed = new Set(list.records.map((r) => r.key));
    return [...this.records.keys()].filter((key) => !listed.has(key));
  }

  hasRecord(key: string): boolean {
    return this.records.has(key);
  }

  /** Returns the revision of the record under `key`; 0 if there is none. */
  revisionOf(key: string): number {
    return this.records.get(key)?.revision ?? 0;
  }

  recordOf(key: string): StoreRecord | undefined {
    return this.records.get(key);
  }

  valueAt(key: string): RecordValue | undefined {
    return this.records.get(key)?.fact;
  }

  /** Applies a change if it is newer than the current record. */
  applyChange(change: RecordChange): void {
    if (change.revision <= this.revisionOf(change.key)) return;
    if (isRemoval(change)) {
      this.removeRecord(change.key, change.revision);
      return;
    }
    this.setRecord(change);
  }

  /** Stores and publishes a record regardless of the current revision. */
  setRecord(record: StoreRecord): void {
    // An entry that cannot be decoded identifies nothing, so what was stored under the key is removed: its later removal would not tell what it was.
    if (record.fact.kind === 'invalid' && this.hasRecord(record.key))
      this.removeRecord(record.key, record.revision);
    this.removed.delete(record.key);
    this.records.set(record.key, record);
    this.publish(record);
  }

  /** Changes the revision of a record without publishing a change; 0 means that the store lacks the record. */
  setRevision(key: string, revision: number): void {
    const current = this.records.get(key);
    if (current) this.records.set(key, { ...current, revision });
  }

  /** Sets the epoch and revision from which the store is followed. */
  startEpoch({ epoch, revision }: StorePosition): void {
    this.epoch = epoch;
    this.revision = revision;
  }

  /** Notifies subscribers that the state has been moved to a new store epoch. */
  restored(restored: StoreRestored): void {
    this.changes.next({ kind: 'restored', ...restored });
  }

  /** Records that all changes up to `revision` have been applied; never moves backwards. */
  advanceTo(revision: number): void {
    this.revision = Math.max(this.revision, revision);
  }

  /** Removes the record under `key` and publishes its removal. */
  removeRecord(key: string, revision: number): void {
    const current = this.records.get(key);
    if (!current) return;
    this.records.delete(key);
    this.removed.set(key, current);
    const { fact } = current;
    if (fact.kind === 'target') {
      this.changes.next({ kind: 'target-gone', id: fact.target.id, revision });
    } else if (fact.kind === 'evacuation') {
      this.evacuated.delete(fact.failureDomain);
      this.changes.next({
        kind: 'evacuation',
        failureDomain: fact.failureDomain,
        active: false,
        revision,
      });
    } else if (fact.kind === 'instance') {
      this.instances.delete(fact.instance.id);
      this.changes.next({ kind: 'instance-gone', id: fact.instance.id, revision });
    } else if (fact.kind === 'crash-report') {
      this.changes.next({ kind: 'crash-report-gone', key, revision });
    } else if (fact.kind === 'member') {
      this.members.delete(fact.id);
      this.changes.next({ kind: 'member-gone', id: fact.id });
    }
  }

  private publish({ key, revision, fact }: StoreRecord): void {
    switch (fact.kind) {
      case 'configuration':
        if (this.configuration && fact.configuration.version <= this.configuration.version) return;
        this.configuration = fact.configuration;
        this.changes.next({ kind: 'configuration', configuration: fact.configuration });
        return;
      case 'target':
        this.changes.next({ kind: 'target', target: fact.target, revision });
        return;
      case 'evacuation':
        this.evacuated.add(fact.failureDomain);
        this.changes.next({
          kind: 'evacuation',
          failureDomain: fact.failureDomain,
          active: true,
          revision,
        });
        return;
      case 'instance':
        this.instances.set(fact.instance.id, fact.instance);
        this.changes.next({ kind: 'instance', instance: fact.instance, revision });
        return;
      case 'crash-report':
        this.changes.next({
          kind: 'crash-report',
          key,
          report: fact.report,
          epoch: this.epoch,
          revision,
        });
        return;
      case 'member':
        this.members.add(fact.id);
        this.changes.next({ kind: 'member', id: fact.id });
        return;
      default:
        this.changes.next({ kind: 'invalid', key, problem: fact.problem });
    }
  }
}
