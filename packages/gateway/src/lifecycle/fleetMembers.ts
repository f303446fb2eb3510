/**
 * Counts the instances that share the fleet's budgets. If the registry shrinks
 * temporarily (expired entries, a network partition), the remaining instances
 * must not take larger shares while the others still use theirs: when three of
 * nine entries had expired, cold targets received 31 requests per second where
 * 26 were tolerated. Removed instances are therefore counted for a while, and a
 * newly started instance, which has not yet seen all entries, assumes a minimum.
 */
import type { ClusterState } from '@cardamomladder/fleet';
import type { InstanceId } from '@cardamomladder/types';
import { RecentlyRemovedInstances } from './recentlyRemovedInstances';

/** Minimum fleet size assumed until the instance has run for `SETTLE_MS`: about the size of today's fleets. */
export const ASSUMED_FLEET_SIZE = 10;
/** Time after startup within which the entries of all instances appear, ms. */
const SETTLE_MS = 6000;

/** The instances that share the fleet's budgets. */
export class FleetMembers {
  private readonly recentlyRemoved: RecentlyRemovedInstances;

  private readonly startedAt: number;

  private members: readonly InstanceId[] | undefined;

  constructor(
    private readonly clusterState: ClusterState,
    private readonly now: () => number,
  ) {
    this.startedAt = now();
    this.recentlyRemoved = new RecentlyRemovedInstances(now);
    clusterState.changes.subscribe((change) => {
      if (change.kind === 'instance-gone') this.recentlyRemoved.add(change.id);
      if (change.kind === 'instance') this.recentlyRemoved.remove(change.instance.id);
      if (change.kind === 'instance' || change.kind === 'instance-gone') this.members = undefined;
    });
  }

  /** Instances that are registered or were recently removed; returns the same array until membership changes. */
  list(): readonly InstanceId[] {
    if (this.recentlyRemoved.prune()) this.members = undefined;
    this.members ??= [...this.clusterState.instances.keys(), ...this.recentlyRemoved.ids()];
    return this.members;
  }

  /** Number of instances that share the budgets; never less than the number of registry entries. */
  size(): number {
    const settled = this.now() - this.startedAt >= SETTLE_MS;
    return Math.max(settled ? 1 : ASSUMED_FLEET_SIZE, this.list().length);
  }
}
