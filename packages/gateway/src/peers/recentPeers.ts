/** Peers that sent a request directly to this instance, even if their entry in the store is gone. */
import type { InstanceEntry } from '@cardamomladder/fleet';
import type { InstanceId } from '@cardamomladder/types';

/** How long a peer counts as alive after a request, ms: four of its request intervals. */
const PEER_TTL_MS = 1500;

/** Keeps the peers seen recently. */
export class RecentPeers {
  private readonly seen = new Map<InstanceId, { entry: InstanceEntry; at: number }>();

  constructor(private readonly now: () => number) {}

  /** Records a request from a peer. */
  record(entry: InstanceEntry): void {
    this.seen.set(entry.id, { entry, at: this.now() });
  }

  /**
   * Drops a peer whose registry entry was removed, since its earlier requests
   * are older than the removal. Without this, a leaving peer would be advertised
   * for 1.5 s more; a peer that is still running without its entry is recorded
   * again within a second.
   */
  remove(id: InstanceId): void {
    this.seen.delete(id);
  }

  /** Returns the peers seen within the TTL. */
  list(): InstanceEntry[] {
    const since = this.now() - PEER_TTL_MS;
    this.seen.forEach(({ at }, id) => {
      if (at < since) this.seen.delete(id);
    });
    return [...this.seen.values()].map(({ entry }) => entry);
  }
}

/** Merges the live instances with those seen directly; where both exist, the directly received entry is newer. */
export const knownInstances = (
  live: { readonly instances: ReadonlyMap<InstanceId, InstanceEntry> },
  recentPeers: RecentPeers,
): Map<InstanceId, InstanceEntry> => {
  const known = new Map(live.instances);
  recentPeers.list().forEach((entry) => known.set(entry.id, entry));
  return known;
};
