/**
 * A bounded log of recent record changes, served to peers that follow the store
 * through this instance. Changes are kept as received from the store, so a peer
 * that applies them reaches the state it would have read from the store itself.
 * Writes that later ones supersede are not kept.
 */
import { Subject } from 'rxjs';
import type { StoreEpoch, StorePosition } from '@cardamomladder/types';
import { comparePositions, storeEpoch } from '@cardamomladder/types';
import { isEarlierValue } from './recordFreshness';
import type { RecordChange, RecordChanges } from './records';

/** Minimum log capacity, in changes: enough for replacing a fleet of 300 targets and instances within one peer request (700 ms). */
const MIN_CAPACITY = 1024;

/**
 * Whether a peer that receives `later` needs no earlier write of the same key. It does
 * if `later` cannot be decoded or is an earlier state: the previous one is then kept.
 */
const supersedes = (later: RecordChange, write: RecordChange): boolean =>
  'fact' in later &&
  'fact' in write &&
  later.fact.kind === write.fact.kind &&
  !isEarlierValue(later.fact, write.fact);

/** Removes the writes that later ones supersede: each version of a configuration contains the whole of it. */
const withoutSuperseded = (changes: readonly RecordChange[]): RecordChange[] => {
  const latest = new Map<string, RecordChange>();
  return changes
    .toReversed()
    .filter((change) => {
      const later = latest.get(change.key);
      if (later && supersedes(later, change)) return false;
      if ('fact' in change) latest.set(change.key, change);
      return true;
    })
    .toReversed();
};

/** Changes in store order; `advanced` emits after each addition. */
export class ChangeLog {
  readonly advanced = new Subject<void>();

  /** The store epoch to which the changes belong. */
  epoch: StoreEpoch = storeEpoch(0);

  /** The store revision up to which changes are known. */
  revision = 0;

  /** The log is complete for changes after this revision; earlier ones have been discarded. */
  private discardedUpTo = 0;

  private changes: readonly RecordChange[] = [];

  /** Log capacity, in changes. Grows with the highest number of records seen, since all of them may be removed at once. */
  private capacity = MIN_CAPACITY;

  /**
   * `known` returns the current number of records. The log keeps at least that
   * many changes, since all records may change within one request. With a
   * fixed capacity of 1,024, a burst of 3,000 changes made each of 30 instances
   * fall back to the store (87 watches instead of 6).
   */
  constructor(private readonly known: () => number = () => 0) {}

  /** Whether the log has advanced past a store position. */
  isAfter(position: StorePosition): boolean {
    return comparePositions(this, position) > 0;
  }

  /** Clears the log at the position of a list, since the individual changes before it are not known. */
  reset({ epoch, revision }: StorePosition): void {
    if (epoch === this.epoch && revision === this.revision) return;
    this.changes = [];
    this.epoch = epoch;
    this.discardedUpTo = revision;
    this.revision = revision;
    this.advanced.next();
  }

  /** Appends the changes that follow revision `after` of their epoch; resets the log to that revision if there is a gap. */
  add(after: number, { epoch, changes, revision }: RecordChanges): void {
    if (epoch !== this.epoch || after > this.revision) this.reset({ epoch, revision: after });
    if (revision <= this.revision) return;
    const all = withoutSuperseded([
      ...this.changes,
      ...changes.filter((c) => c.revision > this.revision),
    ]);
    this.capacity = Math.max(this.capacity, this.known());
    const dropped = all.slice(0, Math.max(0, all.length - this.capacity)).at(-1);
    this.discardedUpTo = dropped?.revision ?? this.discardedUpTo;
    this.changes = all.filter((change) => change.revision > this.discardedUpTo);
    this.revision = revision;
    this.advanced.next();
  }

  /** Returns the changes after a position, or undefined if some of them have been discarded. */
  since({ epoch, revision }: StorePosition): RecordChange[] | undefined {
    if (epoch !== this.epoch || revision < this.discardedUpTo) return undefined;
    return this.changes.filter((change) => change.revision > revision);
  }
}
