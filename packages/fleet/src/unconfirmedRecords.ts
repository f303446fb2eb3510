/**
 * Removed records that reappeared when the store was restored from an older copy.
 * Their writers may no longer exist, and the store may remove them again.
 */
import type { ClusterState } from './clusterState';
import type { RecordValue, RecordChange, StoreRecord } from './records';
import { REGISTRATION_TTL_MS } from './registration';

/** An unconfirmed record is accepted if it still exists after this time, ms: three heartbeats, after which the entry of a silent writer is removed, plus the time to learn of the removal. */
const CONFIRMATION_PERIOD_MS = 10_000;
/** The same for an instance entry, which is removed when its lease expires. */
const INSTANCE_CONFIRMATION_PERIOD_MS = REGISTRATION_TTL_MS + 1000;

const isLeaving = (fact: RecordValue | undefined): boolean =>
  fact?.kind === 'target' && fact.target.leaving;

/** Keeps unconfirmed records out of the cluster state for a limited time. */
export class UnconfirmedRecords {
  private readonly unconfirmed = new Map<string, StoreRecord>();

  constructor(private readonly clusterState: ClusterState) {}

  /** Lists the unconfirmed records, for a peer. */
  list(): StoreRecord[] {
    return [...this.unconfirmed.values()];
  }

  /** Withholds a record and accepts it after the confirmation period if it still exists. A target that was leaving is not accepted again. */
  add(listed: StoreRecord): void {
    const { clusterState, unconfirmed } = this;
    const { key } = listed;
    if (unconfirmed.has(key)) return;
    // A copy distinguishes this entry from an earlier one for the same record.
    const record = { ...listed };
    unconfirmed.set(key, record);
    const confirmationPeriodMs =
      record.fact.kind === 'instance' ? INSTANCE_CONFIRMATION_PERIOD_MS : CONFIRMATION_PERIOD_MS;
    setTimeout(() => {
      if (unconfirmed.get(key) !== record) return;
      unconfirmed.delete(key);
      if (!isLeaving(clusterState.removed.get(key)?.fact)) clusterState.setRecord(record);
    }, confirmationPeriodMs).unref();
  }

  /** Whether `change` is not newer than the unconfirmed record under its key; a newer change discards that record. */
  covers({ key, revision }: RecordChange): boolean {
    const record = this.unconfirmed.get(key);
    if (!record) return false;
    if (revision <= record.revision) return true;
    this.unconfirmed.delete(key);
    return false;
  }

  /** Drops unconfirmed records whose keys are not in a list. */
  retainOnly(listed: ReadonlySet<string>): void {
    this.unconfirmed.forEach((_, key) => {
      if (!listed.has(key)) this.unconfirmed.delete(key);
    });
  }

  /** Drops all unconfirmed records. */
  clear(): void {
    this.unconfirmed.clear();
  }
}
