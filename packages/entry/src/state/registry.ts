/**
 * Entry registration. Callers have no balancer: they ask an entry which
 * entries to use. Each entry writes its address under
 * `<prefix><failureDomain>/<id>` with a lease and keeps the lease alive; an
 * entry that dies stops renewing, its key lapses, and callers stop being
 * sent to it within one lease time. The list of all entries is followed by a
 * watch; while the store is unreachable the last list is served, so a
 * partitioned failure domain keeps answering callers.
 */
import type { EntryAddress } from '@cardamomladder/callers';
import type { KvClient } from '@cardamomladder/platform-kv';
import { watchPrefix } from '@cardamomladder/platform-kv';
import { logger } from '@cardamomladder/telemetry';

const log = logger('entry:registry');

/** Registration of this entry and the list of all entries. */
export interface Registry {
  entries: () => EntryAddress[];
  /** Removes this entry's key, so callers stop being sent here; used before a planned stop. */
  deregister: () => Promise<void>;
  stop: () => void;
}

/** Registers `self` and follows the entries under `prefix`. */
export const startRegistry = (
  kv: KvClient,
  prefix: string,
  self: EntryAddress,
  options: { leaseTtlMs: number; waitMs: number },
): Registry => {
  const known = new Map<string, EntryAddress>();
  const key = `${prefix}${self.failureDomain}/${self.id}`;
  let leaseId: string | undefined;
  let stopped = false;

  const register = async () => {
    const lease = await kv.grantLease(options.leaseTtlMs);
    if (lease.isErr()) return;
    const put = await kv.put(key, JSON.stringify(self), { leaseId: lease.value.leaseId });
    if (put.isOk()) leaseId = lease.value.leaseId;
  };

  // Renewing at a third of the TTL leaves two renewals' slack before the key
  // lapses; a lapse (the entry was paused, or the store was down longer than
  // the TTL) is noticed as `lease-lapsed` and repaired by registering again.
  const renew = async () => {
    if (stopped) return;
    if (!leaseId) {
      await register();
      return;
    }
    const kept = await kv.keepAlive(leaseId);
    if (kept.isErr() && kept.error.kind === 'lease-lapsed') {
      log.warn('registration lease lapsed; registering again', { id: self.id });
      leaseId = undefined;
      await register();
    }
  };
  const timer = setInterval(() => {
    renew().catch(() => {});
  }, options.leaseTtlMs / 3);
  renew().catch(() => {});

  const watch = watchPrefix(kv, prefix, { waitMs: options.waitMs }).subscribe((update) => {
    if (update.kind !== 'items') return;
    update.items.forEach((item) => {
      if (item.value === null) known.delete(item.key);
      else known.set(item.key, JSON.parse(item.value) as EntryAddress);
    });
  });

  return {
    entries: () => {
      const all = new Map(known);
      if (!stopped) all.set(key, self);
      return [...all.values()];
    },
    deregister: async () => {
      stopped = true;
      clearInterval(timer);
      await kv.delete(key);
    },
    stop: () => {
      stopped = true;
      clearInterval(timer);
      watch.unsubscribe();
    },
  };
};
