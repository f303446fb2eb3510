/**
 * How many instances share the fleet's budgets. A registry that shrinks for
 * a moment (entries lapsed, a partition) must not let each instance take a
 * larger share while the others still use theirs: cold targets got 31 requests
 * a second of 26 tolerated as three of nine entries had lapsed. So instances
 * count for a while after they have gone; and an instance that has just started has not yet seen all.
 */
import type { Beliefs, InstanceEntry } from '@cardamomladder/fleet';
import { strongOf } from '@cardamomladder/fleet';
import type { WeighedMember } from '@cardamomladder/steering';
import type { InstanceId } from '@cardamomladder/types';

/** How long an instance counts after it has gone, ms: longer than entries take to come back. */
const REMEMBER_MS = 30_000;
/** Assumed until the instance has run for `SETTLE_MS`: about the size of today's fleets. */
const UNSETTLED_SIZE = 10;
/** Entries of all instances show up within this after a start, ms. */
const SETTLE_MS = 6000;

/**
 * Weight of an instance that is not among the strong ones of its failure
 * domain, those being 1. Callers are sent to the strong ones; the others get
 * some while these are away, and may then use a tenth of such a part.
 */
const WEAK_WEIGHT = 0.1;

/** An instance that has gone, and when. */
interface GoneInstance {
  entry: InstanceEntry;
  at: number;
}

/** The instances that share what is shared. */
export class FleetMembers {
  /** Instances that have gone from the registry lately. */
  private readonly gone = new Map<InstanceId, GoneInstance>();

  /** The last entry of each instance in the registry, which is gone from beliefs when its removal is told. */
  private readonly entries = new Map<InstanceId, InstanceEntry>();

  private readonly startedAt: number;

  private members: readonly WeighedMember[] | undefined;

  constructor(
    beliefs: Beliefs,
    private readonly self: InstanceId,
    private readonly now: () => number,
  ) {
    this.startedAt = now();
    beliefs.changes.subscribe((change) => {
      if (change.kind === 'instance') this.take(change.instance);
      if (change.kind === 'instance-gone') this.drop(change.id);
    });
  }

  /** Instances in the registry now or lately; the same array until one comes or goes. */
  list(): readonly WeighedMember[] {
    this.forget();
    this.members ??= this.weigh();
    return this.members;
  }

  /** How many instances share the budgets; never smaller than what the registry shows. */
  size(): number {
    return Math.max(this.leastSize, this.list().length);
  }

  /** This instance's part of what the fleet may spend together, 0 to 1. */
  part(): number {
    const members = this.list();
    const own = members.find(({ id }) => id === this.self)?.weight ?? 1;
    const known = members.some(({ id }) => id === this.self) ? 0 : own;
    const total = members.reduce((sum, { weight }) => sum + weight, known);
    return Math.min(own / total, 1 / this.leastSize);
  }

  private get leastSize(): number {
    return this.now() - this.startedAt >= SETTLE_MS ? 1 : UNSETTLED_SIZE;
  }

  private take(entry: InstanceEntry): void {
    this.entries.set(entry.id, entry);
    this.gone.delete(entry.id);
    this.members = undefined;
  }

  private drop(id: InstanceId): void {
    const entry = this.entries.get(id);
    this.entries.delete(id);
    if (entry) this.gone.set(id, { entry, at: this.now() });
    this.members = undefined;
  }

  private forget(): void {
    const since = this.now() - REMEMBER_MS;
    this.gone.forEach(({ at }, id) => {
      if (at >= since) return;
      this.gone.delete(id);
      this.members = undefined;
    });
  }

  /** Those that have gone count for what is strong too, or the weak ones of a failure domain would take on its strong ones' parts beside them. */
  private weigh(): WeighedMember[] {
    const all = [...this.entries.values(), ...[...this.gone.values()].map(({ entry }) => entry)];
    const domains = new Set(all.map(({ failureDomain }) => failureDomain));
    const strong = new Set(
      [...domains].flatMap((domain) =>
        strongOf(all.filter(({ failureDomain }) => failureDomain === domain)).map(({ id }) => id),
      ),
    );
    return all.map(({ id }) => ({ id, weight: strong.has(id) ? 1 : WEAK_WEIGHT }));
  }
}
