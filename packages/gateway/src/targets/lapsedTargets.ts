/**
 * Targets whose entries have gone lately. Entries lapse while the store is
 * away, or are read without, and come back; what a target said of itself in
 * its answers holds on for the same run.
 */
import type { TargetEntry } from '@cardamomladder/fleet';
import type { PlacedTarget } from '@cardamomladder/steering';
import type { TargetId } from '@cardamomladder/types';
import { compareRuns } from './runs';

/** How long a target is remembered, ms: far longer than entries take to come back. */
const REMEMBER_MS = 60_000;

interface Lapsed {
  entry: TargetEntry;
  placed: PlacedTarget;
  at: number;
}

/** Remembers targets that have gone. */
export class LapsedTargets {
  private readonly lapsed = new Map<TargetId, Lapsed>();

  constructor(
    /** Steady clock, ms. */
    private readonly now: () => number,
  ) {}

  /** Notes that the target's entry has gone. */
  note(entry: TargetEntry, placed: PlacedTarget): void {
    this.forget();
    this.lapsed.set(entry.id, { entry, placed, at: this.now() });
  }

  /** The target that has come back with this entry; undefined for one that is new or runs anew. */
  take(entry: TargetEntry): PlacedTarget | undefined {
    this.forget();
    const before = this.lapsed.get(entry.id);
    this.lapsed.delete(entry.id);
    if (!before || compareRuns(before.entry, entry) === 'later') return undefined;
    return before.placed;
  }

  private forget(): void {
    const since = this.now() - REMEMBER_MS;
    this.lapsed.forEach(({ at }, id) => {
      if (at < since) this.lapsed.delete(id);
    });
  }
}
