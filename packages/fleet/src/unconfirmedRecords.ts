/**
 * Removed records that reappeared when the store was restored from an older copy.
 * Their writers may no longer exist, and the store may remove them again.
 */
import type { ClusterState } from './clusterState';
import type { RecordValue, RecordChange, StoreRecord } from './records';
import { REGISTRATION_TTL_MS } from './registration';

/** A doubted record is accepted if it still exists after this time, ms: three heartbeats, after which the entry of a silent writer is removed, plus the time to learn of the removal. */
const CONFIRMATION_PERIOD_MS = 10_000;
/** The same for an instance entry, which is removed when its lease expires. */
const INSTANCE_CONFIRMATION_PERIOD_MS = REGISTRATION_TTL_MS + 1000;

const isLeaving = (fact: RecordValue | undefined): boolean =>
  fact?.kind === 'target' && fact.target.leaving;

/** Keeps doubted records out of the cluster state for a limited time. */
export class UnconfirmedRecords {
  private readonly doubted = new Map<string, StoreRecord>();

  constructor(private readonly clusterState: ClusterState) {}

  /** Lists the doubted records, for a peer. */
  list(): StoreRecord[] {
    return [...this.doubted.values()];
  }

  /** Withholds a record and accepts it after the doubt period if it still exists. A target that was leaving is not accepted again. */
  add(listed: StoreRecord): void {
    const { clusterState, doubted } = this;
    const { key } = listed;
    if (doubted.has(key)) return;
    // A copy distinguishes this entry from an earlier one for the same record.
    const record = { ...listed };
    doubted.set(key, record);
    const doubtMs =
      record.fact.kind === 'instance' ? INSTANCE_CONFIRMATION_PERIOD_MS : CONFIRMATION_PERIOD_MS;
    setTimeout(() => {
      if (doubted.get(key) !== record) return;
      doubted.delete(key);
      if (!isLeaving(clusterState.removed.get(key)?.fact)) clusterState.setRecord(record);
    }, doubtMs).unref();
  }

  /** Whether `change` is not newer than the doubted record under its key; a newer change ends the doubt. */
  covers({ key, revision }: RecordChange): boolean {
    const record = this.doubted.get(key);
    if (!record) return false;
    if (revision <= record.revision) return true;
    this.doubted.delete(key);
    return false;
  }

  /** Drops doubted records whose keys are not in a list. */
  retainOnly(listed: ReadonlySet<string>): void {
    this.doubted.forEach((_, key) => {
      if (!listed.has(key)) this.doubted.delete(key);
    });
  }

  /** Drops all doubted records. */
  clear(): void {
    this.doubted.clear();
  }
}
