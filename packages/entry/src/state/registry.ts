/**
 * Entry registration and discovery. There is no load balancer in front of the
 * entries; callers ask any entry for the list. Each entry writes its address to
 * `<prefix><failureDomain>/<id>` with a lease that it renews. If an entry fails,
 * its lease expires and it is no longer listed after at most one lease TTL. Each
 * entry watches the list; while the store is unreachable it serves the last
 * known one, so that a partitioned failure domain keeps serving callers.
 */
import type { EntryAddress } from '@cardamomladder/callers';
import type { KvClient } from '@cardamomladder/platform-kv';
import { watchPrefix } from '@cardamomladder/platform-kv';
import { logger } from '@cardamomladder/telemetry';

const log = logger('entry:registry');

/** This entry's registration and the list of all entries. */
export interface Registry {
  entries: () => EntryAddress[];
  /** Removes this entry from the list before a graceful shutdown. */
  deregister: () => Promise<void>;
  stop: () => void;
}

/** Registers `self` and watches the entries under `prefix`. */
export const startRegistry = (
  kv: KvClient,
  prefix: string,
  self: EntryAddress,
  options: { leaseTtlMs: number; waitMs: number },
): Registry => {
  const entriesByKey = new Map<string, EntryAddress>();
  const key = `${prefix}${self.failureDomain}/${self.id}`;
  let leaseId: string | undefined;
  let stopped = false;

  const register = async () => {
    const lease = await kv.grantLease(options.leaseTtlMs);
    if (lease.isErr()) return;
    const put = await kv.put(key, JSON.stringify(self), { leaseId: lease.value.leaseId });
    if (put.isOk()) leaseId = lease.value.leaseId;
  };

  // Renewing every third of the TTL tolerates two failed renewals. If the lease
  // expires anyway (the entry was paused, or the store was unavailable for
  // longer than the TTL), `lease-lapsed` is returned and the entry registers again.
  const renew = async () => {
    if (stopped) return;
    if (!leaseId) {
      await register();
      return;
    }
    const renewal = await kv.keepAlive(leaseId);
    if (renewal.isErr() && renewal.error.kind === 'lease-lapsed') {
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
      if (item.value === null) entriesByKey.delete(item.key);
      else entriesByKey.set(item.key, JSON.parse(item.value) as EntryAddress);
    });
  });

  return {
    entries: () => {
      const all = new Map(entriesByKey);
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
