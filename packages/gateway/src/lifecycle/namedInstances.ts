/**
 * The instances that callers are sent to, now or lately. What is divided among
 * them must not grow at once when some of them vanish from the registry: they
 * may live on behind a cut, and use their part.
 */
import type { Beliefs, InstanceEntry } from '@cardamomladder/fleet';
import { strongOf } from '@cardamomladder/fleet';
import type { Sharers } from '@cardamomladder/steering';
import type { InstanceId } from '@cardamomladder/types';
import { UNSETTLED_SIZE } from './fleetMembers';
import { LatelyGone } from './latelyGone';

/** Until an instance has run for this long, ms, others may not have registered yet; a whole fleet does so within two seconds. */
const SETTLE_MS = 3000;

/** The named ones of each failure domain. */
export const namedIn = (instances: readonly InstanceEntry[]): InstanceEntry[] => {
  const byDomain = new Map<string, InstanceEntry[]>();
  instances.forEach((instance) => {
    const others = byDomain.get(instance.failureDomain) ?? [];
    byDomain.set(instance.failureDomain, [...others, instance]);
  });
  return [...byDomain.values()].flatMap((group) => [...strongOf(group)]);
};

/** Follows whom callers are sent to. */
export class NamedInstances {
  /** Those that were named lately. */
  private readonly gone: LatelyGone;

  private named = new Set<InstanceId>();

  private held: Sharers | undefined;

  private stale = true;

  private readonly startedAt: number;

  constructor(
    private readonly beliefs: Beliefs,
    private readonly now: () => number,
  ) {
    this.startedAt = now();
    this.gone = new LatelyGone(now);
    beliefs.changes.subscribe(({ kind }) => {
      if (kind === 'instance' || kind === 'instance-gone') this.stale = true;
    });
  }

  /** The instances to divide by; the same object until that changes. */
  holders(): Sharers {
    if (this.stale) this.look();
    if (this.gone.forget()) this.held = undefined;
    this.held ??= this.count();
    if (this.held.size > this.held.ids.length && this.settled) this.held = this.count();
    return this.held;
  }

  private get settled(): boolean {
    return this.now() - this.startedAt >= SETTLE_MS;
  }

  private look(): void {
    this.stale = false;
    const named = new Set(namedIn([...this.beliefs.instances.values()]).map(({ id }) => id));
    this.named.forEach((id) => {
      if (!named.has(id)) this.gone.note(id);
    });
    named.forEach((id) => this.gone.back(id));
    this.named = named;
    this.held = undefined;
  }

  private count(): Sharers {
    const ids = [...this.named, ...this.gone.ids()];
    return { ids, size: Math.max(this.settled ? 1 : UNSETTLED_SIZE, ids.length) };
  }
}
