/**
 * Instances that were recently removed from the registry. They may still run
 * behind a network partition, or return, so the shares of the remaining
 * instances must not grow at once.
 */
import type { InstanceId } from '@cardamomladder/types';

/** How long a removed instance is still counted, ms: longer than entries take to be registered again. */
const RETENTION_MS = 30_000;

/** Keeps the ids of removed instances for a limited time. */
export class RecentlyRemovedInstances {
  private readonly removedAt = new Map<InstanceId, number>();

  constructor(private readonly now: () => number) {}

  add(id: InstanceId): void {
    this.removedAt.set(id, this.now());
  }

  /** Drops an instance that has registered again. */
  remove(id: InstanceId): void {
    this.removedAt.delete(id);
  }

  /** Drops expired ids; returns true if there were any. */
  prune(): boolean {
    const since = this.now() - RETENTION_MS;
    const before = this.removedAt.size;
    this.removedAt.forEach((at, id) => {
      if (at < since) this.removedAt.delete(id);
    });
    return this.removedAt.size < before;
  }

  /** The ids still retained. */
  ids(): InstanceId[] {
    return [...this.removedAt.keys()];
  }
}
