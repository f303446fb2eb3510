/**
 * What this instance believes: the newest configuration, the targets, the
 * evacuations and its peers, kept from store changes. Beliefs only move
 * forward: a record older than the one held is ignored, and a configuration
 * with a version not above the one in force is too, so a late answer or a
 * peer's old copy can never turn anything back. Revisions order the records of
 * one epoch of the store; `IncomingFacts` leads from one epoch to the next.
 */
import { Subject } from 'rxjs';
import type { Configuration } from '@cardamomladder/routing';
import type {
  CrashReport,
  FailureDomainName,
  InstanceId,
  StoreEpoch,
  StoreMoment,
  TargetId,
} from '@cardamomladder/types';
import { RecentMap, storeEpoch } from '@cardamomladder/types';
import type { Fact, FactChange, FactList, FactRecord, InstanceEntry, TargetEntry } from './facts';

/** How long a removed fact is remembered, ms: far longer than a copy of the store is old. */
const REMOVED_KEPT_MS = 60_000;

/** The store came back from an older copy, and beliefs have moved to its new epoch. */
export interface StoreRestored extends StoreMoment {
  /** The moment up to which the store was followed before. */
  followed: StoreMoment;
  /** Keys that the store lacks, though they are held. */
  missing: readonly string[];
  /** Records that the store shows in a state that has passed. */
  outdated: readonly FactRecord[];
}

/** A change of belief, for those that act on it and for the log. */
export type BeliefChange =
  | { kind: 'configuration'; configuration: Configuration }
  | { kind: 'target'; target: TargetEntry; revision: number }
  | { kind: 'target-gone'; id: TargetId; revision: number }
  | { kind: 'evacuation'; failureDomain: FailureDomainName; active: boolean; revision: number }
  | { kind: 'instance'; instance: InstanceEntry; revision: number }
  | { kind: 'instance-gone'; id: InstanceId; revision: number }
  | ({ kind: 'restored' } & StoreRestored)
  | ({ kind: 'crash-report'; key: string; report: CrashReport } & StoreMoment)
  | { kind: 'crash-report-gone'; key: string; revision: number }
  | { kind: 'invalid'; key: string; problem: string };

const isRemoval = (change: FactChange): change is Extract<FactChange, { removed: true }> =>
  'removed' in change;

/** The instance's beliefs; `changes` emits each change once it is in force. */
export class Beliefs {
  readonly changes = new Subject<BeliefChange>();

  readonly instances = new Map<InstanceId, InstanceEntry>();

  readonly evacuated = new Set<FailureDomainName>();

  configuration: Configuration | undefined;

  /** The store's epoch that is followed. */
  epoch: StoreEpoch = storeEpoch(0);

  /** The store's revision up to which changes are known; 0 before the first list. */
  revision = 0;

  /** What was removed of late, as it last stood: a store that comes back from an older copy has some of it again. */
  readonly removed: RecentMap<string, FactRecord>;

  private readonly records = new Map<string, FactRecord>();

  constructor(now: () => number = () => performance.now()) {
    this.removed = new RecentMap(REMOVED_KEPT_MS, now);
  }

  /** Up to where changes are known. */
  get moment(): StoreMoment {
    return { epoch: this.epoch, revision: this.revision };
  }

  /** How many records are held. */
  get size(): number {
    return this.records.size;
  }

  /** Every record held, to pass on to a peer. */
  list(): FactList {
    return { records: [...this.records.values()], ...this.moment };
  }

  /** Keys held that `list` does not have: what went while nobody was listening. */
  missingFrom(list: FactList): string[] {
    const listed = new Set(list.records.map((r) => r.key));
    return [...this.records.keys()].filter((key) => !listed.has(key));
  }

  /** True while a record is held under `key`. */
  holds(key: string): boolean {
    return this.records.has(key);
  }

  /** Revision of the record under `key`; 0 when there is none. */
  revisionOf(key: string): number {
    return this.records.get(key)?.revision ?? 0;
  }

  /** The record under `key`, if any. */
  recordOf(key: string): FactRecord | undefined {
    return this.records.get(key);
  }

  /** What is held under `key`, if anything. */
  factOf(key: string): Fact | undefined {
    return this.records.get(key)?.fact;
  }

  /** Takes one change if it is newer than what is held. */
  take(change: FactChange): void {
    if (change.revision <= this.revisionOf(change.key)) return;
    if (isRemoval(change)) {
      this.remove(change.key, change.revision);
      return;
    }
    this.put(change);
  }

  /** Puts a record in force, whatever revision is held. */
  put(record: FactRecord): void {
    // What can't be understood names no target: one that stood there is gone.
    if (record.fact.kind === 'invalid' && this.factOf(record.key)?.kind === 'target')
      this.remove(record.key, record.revision);
    this.removed.delete(record.key);
    this.records.set(record.key, record);
    this.apply(record);
  }

  /** Takes it that the fact under `key` stands at another revision; 0 when the store lacks it. */
  rebase(key: string, revision: number): void {
    const held = this.records.get(key);
    if (held) this.records.set(key, { ...held, revision });
  }

  /** Follows the store from a moment of another epoch on. */
  startEpoch({ epoch, revision }: StoreMoment): void {
    this.epoch = epoch;
    this.revision = revision;
  }

  /** Tells those that act on it that all is known by the new epoch. */
  restored(restored: StoreRestored): void {
    this.changes.next({ kind: 'restored', ...restored });
  }

  /** Notes that all changes up to `revision` have been taken. */
  advance(revision: number): void {
    this.revision = Math.max(this.revision, revision);
  }

  /** Drops the record under `key`. */
  remove(key: string, revision: number): void {
    const held = this.records.get(key);
    if (!held) return;
    this.records.delete(key);
    this.removed.set(key, held);
    const { fact } = held;
    if (fact.kind === 'target') {
      this.changes.next({ kind: 'target-gone', id: fact.target.id, revision });
    } else if (fact.kind === 'evacuation') {
      this.evacuated.delete(fact.failureDomain);
      this.changes.next({
        kind: 'evacuation',
        failureDomain: fact.failureDomain,
        active: false,
        revision,
      });
    } else if (fact.kind === 'instance') {
      this.instances.delete(fact.instance.id);
      this.changes.next({ kind: 'instance-gone', id: fact.instance.id, revision });
    } else if (fact.kind === 'crash-report') {
      this.changes.next({ kind: 'crash-report-gone', key, revision });
    }
  }

  private apply({ key, revision, fact }: FactRecord): void {
    switch (fact.kind) {
      case 'configuration':
        if (this.configuration && fact.configuration.version <= this.configuration.version) return;
        this.configuration = fact.configuration;
        this.changes.next({ kind: 'configuration', configuration: fact.configuration });
        return;
      case 'target':
        this.changes.next({ kind: 'target', target: fact.target, revision });
        return;
      case 'evacuation':
        this.evacuated.add(fact.failureDomain);
        this.changes.next({
          kind: 'evacuation',
          failureDomain: fact.failureDomain,
          active: true,
          revision,
        });
        return;
      case 'instance':
        this.instances.set(fact.instance.id, fact.instance);
        this.changes.next({ kind: 'instance', instance: fact.instance, revision });
        return;
      case 'crash-report':
        this.changes.next({
          kind: 'crash-report',
          key,
          report: fact.report,
          epoch: this.epoch,
          revision,
        });
        return;
      default:
        this.changes.next({ kind: 'invalid', key, problem: fact.problem });
    }
  }
}
