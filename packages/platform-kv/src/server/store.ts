/**
 * The in-memory state of the KV stand-in: keys with revisions, compare-and-
 * swap, leases that delete their keys when they lapse, and a short event log
 * that watches read from. It models the platform's published behaviour, not
 * its durability: nothing is kept on disk.
 */
import type { KvItem } from '../protocol';

interface Stored {
  value: string;
  modRevision: number;
  leaseId?: string;
}
interface Lease {
  ttlMs: number;
  expiresAt: number;
  keys: Set<string>;
}
interface Waiter {
  prefix: string;
  after: number;
  wake: () => void;
}

/** Result of a put or delete: applied with a revision, or a conflict. */
export type WriteOutcome =
  { applied: true; modRevision: number } | { applied: false; currentRevision: number };

/** How many past events a watch can resume from before it must re-read. */
const EVENT_LOG_LIMIT = 10_000;

/** The stand-in's key-value state. `now` is injected so tests control time. */
export class KvStore {
  private revision = 0;

  private readonly keys = new Map<string, Stored>();

  private readonly leases = new Map<string, Lease>();

  private readonly events: KvItem[] = [];

  private readonly waiters = new Set<Waiter>();

  private nextLease = 1;

  constructor(private readonly now: () => number = Date.now) {}

  /** Current store revision: the revision of the newest write. */
  get currentRevision(): number {
    return this.revision;
  }

  /** Reads one key. */
  get(key: string): KvItem | null {
    const stored = this.keys.get(key);
    return stored ? { key, value: stored.value, modRevision: stored.modRevision } : null;
  }

  /** Reads every key under a prefix, in key order. */
  list(prefix: string): KvItem[] {
    return [...this.keys.entries()]
      .filter(([key]) => key.startsWith(prefix))
      .sort(([a], [b]) => a.localeCompare(b))
      .map(([key, s]) => ({ key, value: s.value, modRevision: s.modRevision }));
  }

  /** Writes a key; with `expectRevision` only if the key is at that revision (0: absent). */
  put(key: string, value: string, expectRevision?: number, leaseId?: string): WriteOutcome {
    const current = this.keys.get(key)?.modRevision ?? 0;
    if (expectRevision !== undefined && expectRevision !== current) {
      return { applied: false, currentRevision: current };
    }
    if (leaseId !== undefined && !this.leases.has(leaseId)) {
      return { applied: false, currentRevision: current };
    }
    this.revision += 1;
    this.keys.set(key, { value, modRevision: this.revision, leaseId });
    if (leaseId !== undefined) this.leases.get(leaseId)?.keys.add(key);
    this.record({ key, value, modRevision: this.revision });
    return { applied: true, modRevision: this.revision };
  }

  /** Deletes a key; with `expectRevision` only if it is at that revision. */
  delete(key: string, expectRevision?: number): WriteOutcome {
    const stored = this.keys.get(key);
    const current = stored?.modRevision ?? 0;
    if (!stored || (expectRevision !== undefined && expectRevision !== current)) {
      return { applied: false, currentRevision: current };
    }
    this.revision += 1;
    this.keys.delete(key);
    this.record({ key, value: null, modRevision: this.revision });
    return { applied: true, modRevision: this.revision };
  }

  /** Grants a lease that lapses `ttlMs` after its last keep-alive. */
  grantLease(ttlMs: number): string {
    const id = `lease-${this.nextLease}`;
    this.nextLease += 1;
    this.leases.set(id, { ttlMs, expiresAt: this.now() + ttlMs, keys: new Set() });
    return id;
  }

  /** Extends a lease; false if it has already lapsed. */
  keepAlive(leaseId: string): boolean {
    this.expireLeases();
    const lease = this.leases.get(leaseId);
    if (!lease) return false;
    lease.expiresAt = this.now() + lease.ttlMs;
    return true;
  }

  /** Drops lapsed leases and the keys attached to them. */
  expireLeases(): void {
    const now = this.now();
    [...this.leases.entries()]
      .filter(([, lease]) => lease.expiresAt <= now)
      .forEach(([id, lease]) => {
        this.leases.delete(id);
        lease.keys.forEach((key) => {
          if (this.keys.get(key)?.leaseId === id) this.delete(key);
        });
      });
  }

  /**
   * Events under `prefix` after revision `after`. `compacted` says the log no
   * longer reaches back that far, so the watcher must re-read with `list`.
   */
  eventsAfter(prefix: string, after: number): { events: KvItem[]; compacted: boolean } {
    const oldest = this.events[0]?.modRevision ?? this.revision + 1;
    const compacted = after + 1 < oldest && after < this.revision;
    const events = this.events.filter((e) => e.modRevision > after && e.key.startsWith(prefix));
    return { events, compacted };
  }

  /** Calls `wake` once when an event under `prefix` after `after` exists; returns a cancel function. */
  onEvent(prefix: string, after: number, wake: () => void): () => void {
    const waiter: Waiter = { prefix, after, wake };
    this.waiters.add(waiter);
    return () => this.waiters.delete(waiter);
  }

  private record(event: KvItem): void {
    this.events.push(event);
    if (this.events.length > EVENT_LOG_LIMIT)
      this.events.splice(0, this.events.length - EVENT_LOG_LIMIT);
    [...this.waiters]
      .filter((w) => event.key.startsWith(w.prefix) && event.modRevision > w.after)
      .forEach((w) => {
        this.waiters.delete(w);
        w.wake();
      });
  }
}
