/**
 * Determines whether a record from a store that was restored from an older copy is
 * new, unchanged or outdated. Revisions cannot tell, because after a restore new
 * writes also get lower revisions than before.
 */
import { isDeepStrictEqual } from 'node:util';
import type { RecordValue, StoreRecord, TargetEntry } from './records';

/** Whether a listed record is new, already known, or an outdated state. */
export type Freshness = 'new' | 'known' | 'outdated';

/** Whether `entry` is an earlier state of the same run of a target or belongs to an earlier run, judged by start times and write counts. */
export const isEarlierEntry = (entry: TargetEntry, known: TargetEntry): boolean =>
  entry.startedAt !== known.startedAt &&
  entry.startedAt !== undefined &&
  known.startedAt !== undefined
    ? entry.startedAt < known.startedAt
    : entry.writes < known.writes;

/** Whether `fact` is an earlier state of the configuration or target `known`. */
export const isEarlierValue = (fact: RecordValue, known: RecordValue): boolean => {
  if (fact.kind === 'configuration' && known.kind === 'configuration')
    return fact.configuration.version < known.configuration.version;
  if (fact.kind === 'target' && known.kind === 'target')
    return isEarlierEntry(fact.target, known.target);
  return false;
};

/** Compares a listed record with the current record under its key, or with a recently removed one. */
export const freshnessOf = (
  listed: StoreRecord,
  current: StoreRecord | undefined,
  removed: StoreRecord | undefined,
): Freshness => {
  const known = current ?? removed;
  if (!known) return 'new';
  if (isEarlierValue(listed.fact, known.fact)) return 'outdated';
  if (!isDeepStrictEqual(listed.fact, known.fact)) return 'new';
  if (current) return 'known';
  // The same value under another revision was written again after its removal.
  return listed.revision === known.revision ? 'outdated' : 'new';
};
