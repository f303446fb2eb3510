/**
 * Keeps what must outlive the entry of a target that was removed recently.
 * Entries may disappear while the store is unavailable, or be missing from what
 * is read, and come back later; what a target reported in its responses and what
 * it was sent while cold remain valid as long as its run lasts.
 */
import type { TargetEntry } from '@cardamomladder/fleet';
import type { TargetState } from '@cardamomladder/steering';
import type { TargetId } from '@cardamomladder/types';
import { ExpiringMap } from '@cardamomladder/types';
import { compareRuns } from './runs';

/** How long a target is kept, ms: far longer than entries take to come back. */
const RETENTION_MS = 60_000;

/** The state of a target that outlives its entry. */
export type LastingState = Pick<TargetState, 'selfReport' | 'coldSends'>;

interface RemovedTarget {
  entry: TargetEntry;
  state: LastingState;
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

  add(entry: TargetEntry, { selfReport, coldSends }: LastingState): void {
    this.targets.set(entry.id, { entry, state: { selfReport, coldSends } });
  }

  /** Removes and returns the target's lasting state, unless the entry belongs to a later run. */
  take(entry: TargetEntry): LastingState | undefined {
    const removed = this.targets.get(entry.id);
    this.targets.delete(entry.id);
    if (!removed || compareRuns(removed.entry, entry) === 'later') return undefined;
    return removed.state;
  }
}
