/**
 * In-memory state of the KV stand-in: keys with revisions, compare-and-swap,
 * leases whose keys are deleted on expiry, and a bounded event log for
 * watches. It models the platform's documented behaviour except for its
 * durability: nothing is persisted.
 */
import type { KvItem } from '../protocol';

interface StoredValue {
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
  notify: () => void;
}

/** Result of a put or delete: the new revision, or a conflict with the current one. */
export type WriteOutcome =
  { applied: true; modRevision: number } | { applied: false; currentRevision: number };

/** Number of past events kept; a watch that resumes from before them must read the prefix again. */
const EVENT_LOG_LIMIT = 10_000;

/** State of the KV stand-in. `now` can be injected to control time in tests. */
export class KvStore {
  private revision = 0;

  private readonly keys = new Map<string, StoredValue>();

  private readonly leases = new Map<string, Lease>();

  private readonly events: KvItem[] = [];

  private readonly waiters = new Set<Waiter>();

  private nextLease = 1;

  constructor(private readonly now: () => number = Date.now) {}

  /** Revision of the newest write. */
  get currentRevision(): number {
    return this.revision;
  }

  /** Reads a key; null if it does not exist. */
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

  /** Writes a key; with `expectRevision` only if the key is at that revision (0: it does not exist). */
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
    this.appendEvent({ key, value, modRevision: this.revision });
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
    this.appendEvent({ key, value: null, modRevision: this.revision });
    return { applied: true, modRevision: this.revision };
  }

  /** Creates a lease that expires `ttlMs` after its last keep-alive. */
  grantLease(ttlMs: number): string {
    const id = `lease-${this.nextLease}`;
    this.nextLease += 1;
    this.leases.set(id, { ttlMs, expiresAt: this.now() + ttlMs, keys: new Set() });
    return id;
  }

  /** Renews a lease; returns false if it has already expired. */
  keepAlive(leaseId: string): boolean {
    this.expireLeases();
    const lease = this.leases.get(leaseId);
    if (!lease) return false;
    lease.expiresAt = this.now() + lease.ttlMs;
    return true;
  }

  /** Removes expired leases and deletes the keys attached to them. */
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
   * Returns the events on keys under `prefix` after revision `after`. If
   * `compacted`, the log no longer contains all of them and the watcher must
   * read the prefix again with `list`.
   */
  eventsAfter(prefix: string, after: number): { events: KvItem[]; compacted: boolean } {
    const oldest = this.events[0]?.modRevision ?? this.revision + 1;
    const compacted = after + 1 < oldest && after < this.revision;
    const events = this.events.filter((e) => e.modRevision > after && e.key.startsWith(prefix));
    return { events, compacted };
  }

  /** Calls `notify` once, at the next event on a key under `prefix` after revision `after`; returns a function that cancels it. */
  onEvent(prefix: string, after: number, notify: () => void): () => void {
    const waiter: Waiter = { prefix, after, notify };
    this.waiters.add(waiter);
    return () => this.waiters.delete(waiter);
  }

  private appendEvent(event: KvItem): void {
    this.events.push(event);
    if (this.events.length > EVENT_LOG_LIMIT)
      this.events.splice(0, this.events.length - EVENT_LOG_LIMIT);
    [...this.waiters]
      .filter((w) => event.key.startsWith(w.prefix) && event.modRevision > w.after)
      .forEach((w) => {
        this.waiters.delete(w);
        w.notify();
      });
  }
}
