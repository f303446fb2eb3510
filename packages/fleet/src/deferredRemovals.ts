/**
 * Defers removals after an outage or a restore of the store. Entries expire while
 * the store is unavailable, or are lost when it is restored from an older copy,
 * and are written again within about two seconds after it is back. Applying
 * their removals immediately would empty the registry, and every request would
 * be rejected until the entries are written again.
 */
import type { ClusterState } from './clusterState';
import type { RecordChange, StoreRecord } from './records';

/** How long removals are deferred, ms, after a restore of the store or an outage that affected all peers. */
export const REMOVAL_DEFERRAL_MS = 2200;
/** Interval at which an expired deferral checks whether the store is available again, ms. */
const STORE_RECHECK_MS = 100;

/** Removals that have not been applied yet. Times are monotonic, ms. */
export class DeferredRemovals {
  private readonly deferred = new Map<string, RecordChange>();

  /** Records that the store lost, in the last state in which it had them. */
  private readonly lost = new Map<string, StoreRecord>();

  private deferUntil = 0;

  private releaseTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly clusterState: ClusterState,
    private readonly now: () => number,
    private readonly isStoreFollowed: () => boolean,
  ) {}

  /** Whether removals are currently deferred. */
  get isDeferring(): boolean {
    return this.now() < this.deferUntil;
  }

  /** Starts or extends the deferral; records still missing when it ends are removed. */
  startDeferring(): void {
    this.deferUntil = this.now() + REMOVAL_DEFERRAL_MS;
    this.releaseTimer ??= setTimeout(() => this.release(), REMOVAL_DEFERRAL_MS);
  }

  /** Adds a deferred removal. */
  add(removal: RecordChange): void {
    this.deferred.set(removal.key, removal);
  }

  /** Remembers the last state of a record that the store lost. */
  rememberLost(record: StoreRecord | undefined): void {
    if (record && record.revision > 0) this.lost.set(record.key, record);
  }

  /** Discards the deferred removal of a key, because the record exists again or its removal has been applied. */
  resolve(key: string): void {
    this.deferred.delete(key);
    this.lost.delete(key);
  }

  /** Whether the removal of a key is deferred. */
  has(key: string): boolean {
    return this.deferred.has(key);
  }

  /** Discards all deferred removals; called when a list shows which records exist. */
  clear(): void {
    this.deferred.clear();
  }

  private release(): void {
    this.releaseTimer = undefined;
    // If the store is unavailable again, no entry can be rewritten; keep deferring.
    const leftMs = this.isStoreFollowed() ? this.deferUntil - this.now() : STORE_RECHECK_MS;
    if (leftMs > 0) {
      this.releaseTimer = setTimeout(() => this.release(), leftMs);
      return;
    }
    this.deferred.forEach((change, key) => {
      this.clusterState.applyChange(change);
      const lost = this.lost.get(key);
      if (lost) this.clusterState.removed.set(key, lost);
    });
    this.deferred.clear();
    this.lost.clear();
  }
}
