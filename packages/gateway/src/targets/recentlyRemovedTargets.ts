/**
 * Keeps the self-reports of targets whose entries were removed recently.
 * Entries may disappear while the store is unavailable, or be missing from what
 * is read, and come back later; what a target reported in its responses remains
 * valid as long as its run lasts.
 */
import type { TargetEntry } from '@cardamomladder/fleet';
import type { SelfReport } from '@cardamomladder/steering';
import type { TargetId } from '@cardamomladder/types';
import { ExpiringMap } from '@cardamomladder/types';
import { compareRuns } from './runs';

/** How long a target is kept, ms: far longer than entries take to come back. */
const RETENTION_MS = 60_000;

interface RemovedTarget {
  entry: TargetEntry;
  selfReport: SelfReport;
}

/** Recently removed targets by id. */
export class RecentlyRemovedTargets {
  private readonly targets: ExpiringMap<TargetId, RemovedTarget>;

  constructor(
    /** Monotonic clock, ms. */
    now: () => number,
  ) {
    this.targets = new ExpiringMap(RETENTION_MS, now);
  }

  add(entry: TargetEntry, selfReport: SelfReport): void {
    this.targets.set(entry.id, { entry, selfReport });
  }

  /** Removes and returns the target's self-report, unless the entry belongs to a later run. */
  take(entry: TargetEntry): SelfReport | undefined {
    const removed = this.targets.get(entry.id);
    this.targets.delete(entry.id);
    if (!removed || compareRuns(removed.entry, entry) === 'later') return undefined;
    return removed.selfReport;
  }
}
