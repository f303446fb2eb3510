/**
 * Determines whether a target's entry belongs to its known run, to a later run,
 * or is an outdated state that was written late. A target may restart with the
 * same id after a crash; if it were taken for the previous run, it would keep
 * that run's failures, load and leaving state, and be sent objects as if they
 * were still in its cache.
 */
import type { TargetEntry } from '@cardamomladder/fleet';
import { isEarlierEntry } from '@cardamomladder/fleet';

/** Order of an entry's run or state relative to the known one. */
export type RunOrder = 'same' | 'later' | 'earlier';

/** Highest count of writes at which an entry may be from the start of a run. */
const MAX_WRITES_OF_NEW_RUN = 2;

/**
 * Compares start times, or if one is missing the count of writes, which restarts
 * with each run. A late write of the same run has a lower count too, so only
 * the first few writes are taken for a new run, and none of them resets the
 * state of a leaving target.
 */
export const compareRuns = (known: TargetEntry | undefined, entry: TargetEntry): RunOrder => {
  if (!known) return 'same';
  const haveStartTimes = known.startedAt !== undefined && entry.startedAt !== undefined;
  if (isEarlierEntry(entry, known)) {
    const mayBeFirst = !haveStartTimes && entry.writes <= MAX_WRITES_OF_NEW_RUN && !known.leaving;
    return mayBeFirst ? 'later' : 'earlier';
  }
  return haveStartTimes && entry.startedAt !== known.startedAt ? 'later' : 'same';
};
