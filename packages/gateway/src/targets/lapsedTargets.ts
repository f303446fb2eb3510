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
const REMEMBER_MS = 60_000;

interface Lapsed {
  entry: TargetEntry;
  selfReport: SelfReport;
}

/** Remembers targets that have gone. */
export class LapsedTargets {
  private readonly lapsed: RecentMap<TargetId, Lapsed>;

  constructor(
    /** Steady clock, ms. */
    now: () => number,
  ) {
    this.lapsed = new RecentMap(REMEMBER_MS, now);
  }

  /** Notes that the target's entry has gone. */
  note(entry: TargetEntry, selfReport: SelfReport): void {
    this.lapsed.set(entry.id, { entry, selfReport });
  }

  /** What the target of this entry has said, if its run is one that had gone. */
  take(entry: TargetEntry): SelfReport | undefined {
    const before = this.lapsed.get(entry.id);
    this.lapsed.delete(entry.id);
    if (!before || compareRuns(before.entry, entry) === 'later') return undefined;
    return before.selfReport;
  }
}
