/**
 * How many instances share the fleet's budgets. A registry that shrinks for
 * a moment (entries lapsed, a partition) must not let each instance take a
 * larger share while the others still use theirs, so the largest number seen
 * lately counts; and an instance that has just started has not yet seen all.
 */
import type { Beliefs } from '@cardamomladder/fleet';

/** How long the largest number seen counts, ms: longer than entries take to come back. */
const REMEMBER_MS = 30_000;
/** Assumed until the instance has run for `SETTLE_MS`: about the size of today's fleets. */
const UNSETTLED_SIZE = 10;
/** Entries of all instances show up within this after a start, ms. */
const SETTLE_MS = 6000;

/** The number of instances that share what is shared. */
export class FleetSize {
  private largest = 1;

  private largestAt: number;

  private readonly startedAt: number;

  constructor(
    private readonly beliefs: Beliefs,
    private readonly now: () => number,
  ) {
    this.startedAt = now();
    this.largestAt = this.startedAt;
  }

  /** Never smaller than what the registry shows now. */
  size(): number {
    const seen = this.beliefs.instances.size;
    const at = this.now();
    if (seen >= this.largest || at - this.largestAt > REMEMBER_MS) {
      this.largest = Math.max(1, seen);
      this.largestAt = at;
    }
    return at - this.startedAt < SETTLE_MS ? Math.max(UNSETTLED_SIZE, this.largest) : this.largest;
  }
}
