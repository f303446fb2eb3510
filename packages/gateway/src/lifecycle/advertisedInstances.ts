/**
 * The instances that the directory advertises to callers, now or until
 * recently. When some of them disappear from the registry, the shares of the
 * others must not grow at once: the missing ones may still run behind a network
 * partition and use their shares.
 */
import type { InstanceEntry } from '@cardamomladder/fleet';
import { highCapacityInstances } from '@cardamomladder/fleet';
import type { SharingInstances } from '@cardamomladder/steering';
import type { InstanceId } from '@cardamomladder/types';
import { ASSUMED_FLEET_SIZE } from './fleetMembers';
import type { InstanceSource } from './liveInstances';
import { RecentlyRemovedInstances } from './recentlyRemovedInstances';

/** Until an instance has run for this long, ms, others may not have registered yet; a whole fleet registers within two seconds. */
const SETTLE_MS = 3000;

/** Selects the instances that are advertised in each failure domain. */
export const selectAdvertised = (instances: readonly InstanceEntry[]): InstanceEntry[] => {
  const byDomain = new Map<string, InstanceEntry[]>();
  instances.forEach((instance) => {
    const others = byDomain.get(instance.failureDomain) ?? [];
    byDomain.set(instance.failureDomain, [...others, instance]);
  });
  return [...byDomain.values()].flatMap((group) => [...highCapacityInstances(group)]);
};

/** Tracks the advertised instances. */
export class AdvertisedInstances {
  /** Instances that were advertised until recently. */
  private readonly recentlyRemoved: RecentlyRemovedInstances;

  private advertised = new Set<InstanceId>();

  private cachedSharers: SharingInstances | undefined;

  private stale = true;

  private readonly startedAt: number;

  constructor(
    private readonly source: InstanceSource,
    private readonly now: () => number,
  ) {
    this.startedAt = now();
    this.recentlyRemoved = new RecentlyRemovedInstances(now);
    source.changes.subscribe(({ kind }) => {
      if (kind === 'instance' || kind === 'instance-gone') this.stale = true;
    });
  }

  /** The instances among which limits are divided; returns the same object until they change. */
  sharers(): SharingInstances {
    if (this.stale) this.refresh();
    if (this.recentlyRemoved.prune()) this.cachedSharers = undefined;
    this.cachedSharers ??= this.computeSharers();
    if (this.cachedSharers.size > this.cachedSharers.ids.length && this.settled)
      this.cachedSharers = this.computeSharers();
    return this.cachedSharers;
  }

  private get settled(): boolean {
    return this.now() - this.startedAt >= SETTLE_MS;
  }

  private refresh(): void {
    this.stale = false;
    const advertised = new Set(
      selectAdvertised([...this.source.instances.values()]).map(({ id }) => id),
    );
    this.advertised.forEach((id) => {
      if (!advertised.has(id)) this.recentlyRemoved.add(id);
    });
    advertised.forEach((id) => this.recentlyRemoved.remove(id));
    this.advertised = advertised;
    this.cachedSharers = undefined;
  }

  private computeSharers(): SharingInstances {
    const ids = [...this.advertised, ...this.recentlyRemoved.ids()];
    return { ids, size: Math.max(this.settled ? 1 : ASSUMED_FLEET_SIZE, ids.length) };
  }
}
