/**
 * The instances that share what targets accept from the whole fleet. Registry entries
 * expire with their leases while the instances still run, behind a network partition or
 * while the store is away, and the remaining ones must not take larger shares: when
 * three of nine entries had expired, cold targets received 31 requests per second where
 * 26 were tolerated. Members are therefore recorded without a lease, so that a process
 * that starts while entries have lapsed counts all of them, and removed instances are
 * counted for a while.
 */
import type { ClusterState, ClusterStateChange } from '@cardamomladder/fleet';
import type { InstanceId } from '@cardamomladder/types';
import { RecentlyRemovedInstances } from './recentlyRemovedInstances';

/** Minimum fleet size assumed until the instance has run for `SETTLE_MS`: about the size of today's fleets. */
export const ASSUMED_FLEET_SIZE = 10;
/** Time after startup within which the entries of all instances appear, ms. */
const SETTLE_MS = 6000;

const MEMBERSHIP_CHANGES: ReadonlySet<ClusterStateChange['kind']> = new Set([
  'instance',
  'instance-gone',
  'member',
  'member-gone',
]);

/** The instances that share what the whole fleet may send. */
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
      if (MEMBERSHIP_CHANGES.has(change.kind)) this.members = undefined;
    });
  }

  /** Instances that are registered, recorded as members or were recently removed; returns the same array until membership changes. */
  list(): readonly InstanceId[] {
    if (this.recentlyRemoved.prune()) this.members = undefined;
    const { instances, members } = this.clusterState;
    this.members ??= [...new Set([...instances.keys(), ...members, ...this.recentlyRemoved.ids()])];
    return this.members;
  }

  /** Number of instances; never less than the number of registry entries. */
  size(): number {
    const settled = this.now() - this.startedAt >= SETTLE_MS;
    return Math.max(settled ? 1 : ASSUMED_FLEET_SIZE, this.list().length);
  }
}
