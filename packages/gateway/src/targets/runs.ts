/**
 * Tells whether an entry comes from the run of a target that is known, from a
 * later run, or is an earlier state that was written late. A target that
 * crashes may start again under the id it had; taken for the run before, it
 * would keep its failures, its load and its state of leaving, and be sent
 * objects as if it remembered them.
 */
import type { TargetEntry } from '@cardamomladder/fleet';
import { isEarlierEntry } from '@cardamomladder/fleet';

/** How an entry's run or state stands to the one that is known. */
export type RunOrder = 'same' | 'later' | 'earlier';

/** Counts of writes up to which an entry may be the first of a run. */
const MAX_WRITES_OF_NEW_RUN = 2;

/**
 * Compares by start times. Where these are not told, the count of writes,
 * which starts anew with each run, has to do; as a late write of the same run
 * has a lower count too, only one that is among the first counts as a new
 * run's, and none brings a leaving target back.
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
