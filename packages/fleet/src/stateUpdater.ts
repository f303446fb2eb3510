/**
 * Applies changes and lists to the cluster state.
 *
 * A store restored from an older copy lacks the writes made after that copy until
 * they are repeated, and contains outdated states. Neither is treated as a
 * change: known records are kept and take over the revisions of the new epoch.
 */
import type { ClusterState } from './clusterState';
import { UnconfirmedRecords } from './unconfirmedRecords';
import type { RecordValue, RecordChange, RecordChanges, RecordList, StoreRecord } from './records';
import { DeferredRemovals } from './deferredRemovals';
import type { Freshness } from './recordFreshness';
import { freshnessOf } from './recordFreshness';

/** Whether a record is kept after the store has lost it: an older configuration is never activated, and crash reports are written again. */
const survivesStoreLoss = (fact: RecordValue | undefined): boolean =>
  fact?.kind === 'configuration' || fact?.kind === 'crash-report' || fact?.kind === 'member';

const canExpire = (fact: RecordValue | undefined): boolean =>
  (fact?.kind === 'target' && !fact.target.leaving) || fact?.kind === 'instance';

/** Applies incoming changes and lists to the cluster state. */
export class StateUpdater {
  private readonly removals: DeferredRemovals;

  private readonly unconfirmed: UnconfirmedRecords;

  constructor(
    private readonly clusterState: ClusterState,
    /** Monotonic clock, ms. */
    now: () => number,
    isStoreFollowed: () => boolean,
  ) {
    this.removals = new DeferredRemovals(clusterState, now, isStoreFollowed);
    this.unconfirmed = new UnconfirmedRecords(clusterState);
  }

  /** Defers removals from now on; records still missing when the deferral ends are removed. */
  deferRemovals(): void {
    this.removals.startDeferring();
  }

  /** Applies changes that follow the current state; returns false if they belong to another store epoch. */
  applyChanges({ epoch, changes, revision }: RecordChanges): boolean {
    if (epoch !== this.clusterState.epoch) return false;
    // A list from a peer may have advanced the state in the meantime.
    changes
      .filter((change) => change.revision > this.clusterState.revision)
      .forEach((change) => this.applyChange(change));
    this.clusterState.advanceTo(revision);
    return true;
  }

  /** Applies a list; returns false if the current state is later. */
  applyList(list: RecordList): boolean {
    const { clusterState } = this;
    if (clusterState.revision === 0) this.applyFirst(list);
    else if (list.epoch > clusterState.epoch) this.applyRestored(list);
    else if (list.epoch < clusterState.epoch || list.revision < clusterState.revision) return false;
    else this.applySameEpoch(list);
    this.applyMissing(list);
    return true;
  }

  /** Returns the current state for a peer. Records that the store lacks are listed separately, since no change will announce their removal. */
  list(): RecordList {
    const { records, ...position } = this.clusterState.list();
    const isMissing = ({ key, revision }: StoreRecord) => revision === 0 || this.removals.has(key);
    const missing = records.filter(isMissing);
    const doubted = this.unconfirmed.list();
    return {
      ...position,
      records: records.filter((record) => !isMissing(record)),
      ...(missing.length > 0 ? { missing } : {}),
      ...(doubted.length > 0 ? { doubted } : {}),
    };
  }

  private applyFirst(list: RecordList): void {
    this.clusterState.startEpoch(list);
    this.applyUnconfirmed(list);
    list.records.forEach((record) => this.applyListed(record));
  }

  /** Applies a list of the current epoch and removes the records it lacks. */
  private applySameEpoch(list: RecordList): void {
    const { clusterState } = this;
    const { records, revision, missing = [] } = list;
    this.unconfirmed.retainOnly(new Set(records.map(({ key }) => key)));
    this.applyUnconfirmed(list);
    const heldByPeer = new Set(missing.map(({ key }) => key));
    // A record at revision 0 is already known to be missing, and its removal is deferred.
    const missingKeys = clusterState
      .keysMissingFrom(list)
      .filter((key) => clusterState.revisionOf(key) > 0);
    missingKeys
      .filter((key) => !heldByPeer.has(key))
      .forEach((key) => this.applyChange({ key, revision, removed: true }));
    missingKeys
      .filter((key) => heldByPeer.has(key))
      .forEach((key) => this.markMissing(key, revision));
    records.forEach((record) => this.applyListed(record));
    clusterState.advanceTo(revision);
  }

  /** Moves all known records to the epoch and the revisions of a list from the restored store. */
  private applyRestored(list: RecordList): void {
    const { clusterState } = this;
    const followed = clusterState.position;
    this.unconfirmed.clear();
    this.applyUnconfirmed(list);
    const missing = clusterState.keysMissingFrom(list);
    clusterState.startEpoch(list);
    this.removals.clear();
    this.removals.startDeferring();
    const outdated = list.records.filter((record) => this.reconcile(record) === 'outdated');
    missing.forEach((key) => this.markMissing(key, list.revision));
    clusterState.restored({ ...clusterState.position, followed, missing, outdated });
  }

  private reconcile(listed: StoreRecord): Freshness {
    const { clusterState } = this;
    const { key, revision } = listed;
    const current = clusterState.recordOf(key);
    this.removals.resolve(key);
    const freshness = freshnessOf(listed, current, clusterState.removed.get(key));
    if (freshness === 'new') clusterState.setRecord(listed);
    else if (current) clusterState.setRevision(key, revision);
    else this.unconfirmed.add(listed);
    return freshness;
  }

  /** Applies a listed record, unless it is a removed record that reappeared. */
  private applyListed(listed: StoreRecord): void {
    const { clusterState } = this;
    const { key } = listed;
    const removed = clusterState.hasRecord(key) ? undefined : clusterState.removed.get(key);
    if (removed && freshnessOf(listed, undefined, removed) === 'outdated')
      this.unconfirmed.add(listed);
    else this.applyChange(listed);
  }

  /** Applies a peer's information about records that were removed before the store was restored. */
  private applyUnconfirmed({ doubted = [] }: RecordList): void {
    doubted.forEach((record) => {
      this.clusterState.removeRecord(record.key, record.revision);
      this.unconfirmed.add(record);
    });
  }

  /** Marks a record as missing from the store and defers its removal. */
  private markMissing(key: string, revision: number): void {
    const { clusterState, removals } = this;
    removals.rememberLost(clusterState.recordOf(key));
    clusterState.setRevision(key, 0);
    if (survivesStoreLoss(clusterState.valueAt(key))) return;
    removals.add({ key, revision, removed: true });
    removals.startDeferring();
  }

  /** Adds records that a peer holds and the store lacks, unless they are already known here. */
  private applyMissing({ missing = [], revision }: RecordList): void {
    const { clusterState } = this;
    const unknown = missing.filter(
      ({ key }) => !clusterState.hasRecord(key) && !clusterState.removed.get(key),
    );
    unknown.forEach((record) => {
      clusterState.setRecord(record);
      this.markMissing(record.key, revision);
    });
  }

  private applyChange(change: RecordChange): void {
    if (this.unconfirmed.covers(change)) return;
    const isDeferrable = 'removed' in change && canExpire(this.clusterState.valueAt(change.key));
    if (isDeferrable && this.removals.isDeferring) {
      this.removals.add(change);
      return;
    }
    this.removals.resolve(change.key);
    this.clusterState.applyChange(change);
  }
}
