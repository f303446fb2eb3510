/**
 * Judges what a store that came back from an older copy says of one key. It
 * may show a state that has passed, and its revisions do not tell: they are
 * lower than before for new writes too.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Fact, FactRecord, TargetEntry } from './facts';

/** What a listed record is: new, what is held already, or a state that has passed. */
export type Standing = 'news' | 'known' | 'outdated';

/** True when an entry is an earlier state of a target's run, or of a run before it, as far as start times and writes tell. */
export const isEarlierEntry = (entry: TargetEntry, known: TargetEntry): boolean =>
  entry.startedAt !== known.startedAt &&
  entry.startedAt !== undefined &&
  known.startedAt !== undefined
    ? entry.startedAt < known.startedAt
    : entry.writes < known.writes;

const isEarlier = (fact: Fact, known: Fact): boolean => {
  if (fact.kind === 'configuration' && known.kind === 'configuration')
    return fact.configuration.version < known.configuration.version;
  if (fact.kind === 'target' && known.kind === 'target')
    return isEarlierEntry(fact.target, known.target);
  return false;
};

/** Judges a record by what is held under its key, or was removed there of late. */
export const standingOf = (
  listed: FactRecord,
  held: FactRecord | undefined,
  removed: FactRecord | undefined,
): Standing => {
  const known = held ?? removed;
  if (!known) return 'news';
  if (isEarlier(listed.fact, known.fact)) return 'outdated';
  if (!isDeepStrictEqual(listed.fact, known.fact)) return 'news';
  if (held) return 'known';
  // The same fact under another revision was written again after its removal.
  return listed.revision === known.revision ? 'outdated' : 'news';
};
