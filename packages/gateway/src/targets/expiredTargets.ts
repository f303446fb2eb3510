/**
 * Targets whose entries have gone lately. Entries lapse while the store is
 * away, or are read without, and come back; what a target said of itself in
 * its answers holds on for the same run.
 */
import type { TargetEntry } from '@cardamomladder/fleet';
import type { SelfReport } from '@cardamomladder/steering';
import type { TargetId } from '@cardamomladder/types';
import { RecentMap } from '@cardamomladder/types';
import { compareRuns } from './runs';

/** How long a target is remembered, ms: far longer than entries take to come back. */
const RETENTION_MS = 60_000;

interface ExpiredTarget {
  entry: TargetEntry;
  selfReport: SelfReport;
}

/** Remembers targets that have gone. */
export class ExpiredTargets {
  private readonly targets: RecentMap<TargetId, ExpiredTarget>;

  constructor(
    /** Steady clock, ms. */
    now: () => number,
  ) {
    this.targets = new RecentMap(RETENTION_MS, now);
  }

  /** Notes that the target's entry has gone. */
  add(entry: TargetEntry, selfReport: SelfReport): void {
    this.targets.set(entry.id, { entry, selfReport });
  }

  /** What the target of this entry has said, if its run is one that had gone. */
  take(entry: TargetEntry): SelfReport | undefined {
    const expired = this.targets.get(entry.id);
    this.targets.delete(entry.id);
    if (!expired || compareRuns(expired.entry, entry) === 'later') return undefined;
    return expired.selfReport;
  }
}
