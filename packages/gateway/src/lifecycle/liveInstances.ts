/**
 * The instances that serve callers: those with a registry entry, and those without one
 * that say in the exchange that they serve. An instance that said that it leaves is not
 * listed, even while its entry is still registered. A statement counts for as long as it
 * is valid, so a killed instance is listed for `STATEMENT_VALID_MS` after its end or
 * until its entry lapses, whichever is later.
 */
import type { Observable, Subscription } from 'rxjs';
import { Subject, auditTime, interval, merge } from 'rxjs';
import type { ClusterState, InstanceEntry } from '@cardamomladder/fleet';
import type { InstanceId } from '@cardamomladder/types';
import type { StatedContent } from '../peers/exchange';
import { STATEMENT_VALID_MS } from '../peers/exchange';
import type { AliveContent } from './aliveSection';

/** Statements heard within this time are taken over together, ms. */
const TAKE_OVER_MS = 50;
/** Interval at which expired statements are dropped if nothing else happens, ms. */
const EXPIRY_CHECK_MS = 250;
/** How long it is remembered that an instance without a registry entry has left, ms: longer than any statement of it is under way. */
const LEFT_RETENTION_MS = 60_000;

/** A change of one instance. */
export type InstanceChange =
  { kind: 'instance'; instance: InstanceEntry } | { kind: 'instance-gone'; id: InstanceId };

/** A set of instances that changes. */
export interface InstanceSource {
  readonly instances: ReadonlyMap<InstanceId, InstanceEntry>;
  readonly changes: Observable<{ kind: string }>;
}

/** The beginning or the end of the time in which an instance is known by its statements only. */
export interface KeptInstance {
  id: InstanceId;
  event: 'kept' | 'registered' | 'left' | 'silent';
}

/** Where statements come from. */
export interface StatementSource {
  /** True while the part is in effect. */
  enabled: () => boolean;
  /** The valid statements, that of this instance included. */
  stated: () => readonly StatedContent<AliveContent>[];
  /** Emits when a statement was heard or dropped. */
  heard: Observable<unknown>;
}

interface Departure {
  /** The process that left. */
  run: number;
  at: number;
  /** True once the instance has registered again. */
  isOver: boolean;
}

const isSame = (a: InstanceEntry | undefined, b: InstanceEntry): boolean =>
  a !== undefined && (a === b || JSON.stringify(a) === JSON.stringify(b));

/** Merges registry entries and statements. */
export class LiveInstances implements InstanceSource {
  /** Emits each change after it has been applied. */
  readonly changes = new Subject<InstanceChange>();

  readonly keptChanges = new Subject<KeptInstance>();

  private source: StatementSource | undefined;

  /** The merged instances; undefined while the part is off. */
  private merged: Map<InstanceId, InstanceEntry> | undefined;

  private kept: ReadonlySet<InstanceId> = new Set();

  private readonly departures = new Map<InstanceId, Departure>();

  /** When the entries were last written, as far as this instance has seen it. */
  private readonly registeredAt = new Map<InstanceId, number>();

  /** When the first of the current statements expires. */
  private expiresAt = Infinity;

  constructor(
    private readonly registry: Pick<ClusterState, 'instances' | 'changes'>,
    private readonly now: () => number,
  ) {
    registry.changes.subscribe((change) => {
      if (change.kind !== 'instance' && change.kind !== 'instance-gone') return;
      this.recordRegistration(change);
      if (!this.merged) this.changes.next(change);
      this.update();
    });
  }

  /** Takes statements into account from now on, while the source is enabled. */
  follow(source: StatementSource): Subscription {
    this.source = source;
    return merge(source.heard.pipe(auditTime(TAKE_OVER_MS)), interval(EXPIRY_CHECK_MS)).subscribe(
      () => this.update(),
    );
  }

  /** The live instances; the same object until they change, and the registry's own while the part is off. */
  get instances(): ReadonlyMap<InstanceId, InstanceEntry> {
    if (this.now() > this.expiresAt || Boolean(this.source?.enabled()) !== Boolean(this.merged))
      this.update();
    return this.merged ?? this.registry.instances;
  }

  /** Number of instances known by their statements only. */
  get keptCount(): number {
    return this.kept.size;
  }

  private recordRegistration(change: InstanceChange): void {
    if (change.kind === 'instance-gone') {
      this.registeredAt.delete(change.id);
      return;
    }
    const { id } = change.instance;
    this.registeredAt.set(id, this.now());
    const departure = this.departures.get(id);
    if (departure) departure.isOver = true;
  }

  /** Merges what is known now, and publishes the changes. */
  update(): void {
    const statements = this.source?.enabled() ? this.source.stated() : undefined;
    const before = this.merged ?? new Map(this.registry.instances);
    const left = statements ? this.recordDepartures(statements) : [];
    const next = statements && this.merge(statements, before);
    this.expiresAt = Math.min(
      ...(statements ?? []).map(({ ageMs }) => this.now() + STATEMENT_VALID_MS - ageMs),
    );
    const after = next ?? this.registry.instances;
    const gone = [...before.keys()].filter((id) => !after.has(id));
    const changed = [...after.values()].filter((entry) => before.get(entry.id) !== entry);
    if (!next || !this.merged || gone.length + changed.length > 0) this.merged = next;
    this.updateKept();
    [...new Set([...gone, ...left])].forEach((id) =>
      this.changes.next({ kind: 'instance-gone', id }),
    );
    changed.forEach((instance) => this.changes.next({ kind: 'instance', instance }));
  }

  /** Records the instances that say that they leave; returns those heard for the first time. */
  private recordDepartures(statements: readonly StatedContent<AliveContent>[]): InstanceId[] {
    const oldest = this.now() - LEFT_RETENTION_MS;
    this.departures.forEach(({ at, isOver }, id) => {
      if (at < oldest && (isOver || !this.registry.instances.has(id))) this.departures.delete(id);
    });
    return statements.flatMap(({ id, content: { state, run } }) => {
      const known = this.departures.get(id);
      if (known && known.run >= run) return [];
      this.departures.delete(id);
      if (state !== 'leaving') return [];
      this.departures.set(id, { run, at: this.now(), isOver: false });
      return [id];
    });
  }

  private merge(
    statements: readonly StatedContent<AliveContent>[],
    before: ReadonlyMap<InstanceId, InstanceEntry>,
  ): Map<InstanceId, InstanceEntry> {
    const merged = new Map(this.registry.instances);
    this.departures.forEach(({ isOver }, id) => {
      if (!isOver) merged.delete(id);
    });
    statements.forEach(({ id, content, ageMs }) => {
      if (content.state !== 'serving' || content.entry.id !== id || this.departures.has(id)) return;
      // An entry that was written after the statement is newer.
      if ((this.registeredAt.get(id) ?? -Infinity) >= this.now() - ageMs && merged.has(id)) return;
      const known = [merged.get(id), before.get(id)].find((entry) => isSame(entry, content.entry));
      merged.set(id, known ?? content.entry);
    });
    return merged;
  }

  private updateKept(): void {
    const { instances } = this.registry;
    const kept = new Set([...(this.merged?.keys() ?? [])].filter((id) => !instances.has(id)));
    const before = this.kept;
    this.kept = kept;
    kept.forEach((id) => {
      if (!before.has(id)) this.keptChanges.next({ id, event: 'kept' });
    });
    before.forEach((id) => {
      if (!kept.has(id)) this.keptChanges.next({ id, event: this.endOf(id) });
    });
  }

  private endOf(id: InstanceId): KeptInstance['event'] {
    if (this.registry.instances.has(id)) return 'registered';
    return this.departures.has(id) ? 'left' : 'silent';
  }
}
