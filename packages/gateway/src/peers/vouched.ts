/** Peers heard of directly, whose entry in the store may be gone. */
import type { Beliefs, InstanceEntry } from '@cardamomladder/fleet';
import type { InstanceId } from '@cardamomladder/types';

/** How long one word from a peer counts, ms: four of its questions. */
const VOUCHED_MS = 1500;

/** Remembers who was heard of, and when. */
export class VouchedPeers {
  private readonly heard = new Map<InstanceId, { entry: InstanceEntry; at: number }>();

  constructor(private readonly now: () => number) {}

  /** Takes word of a peer. */
  hear(entry: InstanceEntry): void {
    this.heard.set(entry.id, { entry, at: this.now() });
  }

  /**
   * Takes it that a peer's entry has gone: what it said before is older news. A
   * peer that leaves was named for 1.5 s more without this; one that lives on
   * without its entry is heard of again within a second.
   */
  gone(id: InstanceId): void {
    this.heard.delete(id);
  }

  /** The peers heard of lately. */
  list(): InstanceEntry[] {
    const since = this.now() - VOUCHED_MS;
    this.heard.forEach(({ at }, id) => {
      if (at < since) this.heard.delete(id);
    });
    return [...this.heard.values()].map(({ entry }) => entry);
  }
}

/** Instances by their entry in the store or their own word; the word is the newer where there are both. */
export const knownInstances = (
  beliefs: Pick<Beliefs, 'instances'>,
  vouched: VouchedPeers,
): Map<InstanceId, InstanceEntry> => {
  const known = new Map(beliefs.instances);
  vouched.list().forEach((entry) => known.set(entry.id, entry));
  return known;
};
