/**
 * Keeps this instance's entry in the store while it takes callers. The entry
 * lives under a lease, so a killed instance leaves the directory's answers by
 * itself. The lease can end while the instance is paused or turned away, and
 * the entry can be taken away with no call failing; both are noticed here
 * (the renewal fails, or the entry is missing from what was followed) and
 * mended by registering anew. A store that came back from an older copy may
 * lack entry and lease, and may have given the lease's id to another instance.
 */
import type { StoreMoment } from '@cardamomladder/types';
import type { Beliefs } from './beliefs';
import type { InstanceEntry, Store, StoreFailure } from './facts';

/** How long an entry outlives its last renewal, ms: dead instances must be out of answers in 6 s, and callers keep answers for 2 s. */
export const REGISTRATION_TTL_MS = 3000;
/** How often the lease is renewed, ms: two renewals may be lost before it ends. */
export const RENEW_EVERY_MS = 1000;
/** After failures in a row registering is tried only every so many times, at most: a third of a large fleet that the store turns away would ask it for a hundred leases a second. */
const SKIPPED_MOST = 1;
/** A fresh entry must show up among the followed facts within this time, ms, or it is written again. */
const SHOWS_WITHIN_MS = 2500;

/** A running registration. */
export interface Registration {
  /** Takes the entry away, so that no directory names this instance any more. */
  leave: () => Promise<void>;
}

/** What registering needs. */
export interface RegistrationOptions {
  store: Store;
  beliefs: Beliefs;
  self: InstanceEntry;
  now: () => number;
  /** Called for each registration and each failure. */
  report: (event: 'registered' | 'lapsed' | 'failed' | 'left', detail: string) => void;
}

/** Registers and keeps registering until `leave`. */
export const startRegistration = (options: RegistrationOptions): Registration => {
  const { store, beliefs, self, now, report } = options;
  const key = store.instanceKey(self.id);
  let leaseId: number | undefined;
  let writtenAt = 0;
  /** Where the entry stands in the store. */
  let entry: StoreMoment | undefined;
  let stopped = false;
  let busy = false;
  /** True when the entry is to be looked after as soon as the call under way is answered. */
  let again = false;
  let failures = 0;
  let skipped = 0;

  const failed = (step: string, failure: StoreFailure) =>
    report('failed', `${step}: ${failure.message}`);

  const register = async (): Promise<void> => {
    const lease = await store.grantLease(REGISTRATION_TTL_MS);
    if (lease.isErr()) {
      failures += 1;
      failed('lease', lease.error);
      return;
    }
    failures = 0;
    if (stopped) return;
    const written = await store.register(self, lease.value.id);
    if (written.isErr()) {
      failed('entry', written.error);
      return;
    }
    leaseId = lease.value.id;
    entry = written.value;
    writtenAt = now();
    report('registered', `lease ${leaseId}`);
  };

  const keep = async (): Promise<void> => {
    if (leaseId === undefined) {
      if (failures > 1 && skipped < SKIPPED_MOST) {
        skipped += 1;
        return;
      }
      skipped = 0;
      await register();
      return;
    }
    const missing = !beliefs.holds(key) && now() - writtenAt > SHOWS_WITHIN_MS;
    const renewed = missing ? undefined : await store.renewLease(leaseId);
    if (renewed?.isOk()) return;
    if (renewed?.isErr() && renewed.error.kind !== 'lease-ended') {
      failed('renewal', renewed.error);
      return;
    }
    report('lapsed', missing ? 'the entry is missing' : 'the lease ended');
    leaseId = undefined;
    await register();
  };

  const tick = async (): Promise<void> => {
    if (stopped || busy) return;
    busy = true;
    try {
      await keep();
    } finally {
      busy = false;
    }
    if (!again) return;
    again = false;
    await tick();
  };
  const look = (): void => {
    tick().catch((error: Error) => report('failed', error.message));
  };
  const timer = setInterval(look, RENEW_EVERY_MS);
  look();
  const restored = beliefs.changes.subscribe((change) => {
    if (change.kind !== 'restored' || !entry || entry.epoch === change.epoch) return;
    if (beliefs.revisionOf(key) === entry.revision) {
      entry = { ...entry, epoch: change.epoch };
      return;
    }
    report('lapsed', `epoch ${change.epoch} of the store lacks the entry`);
    leaseId = undefined;
    entry = undefined;
    again = busy;
    look();
  });

  return {
    leave: async () => {
      stopped = true;
      clearInterval(timer);
      restored.unsubscribe();
      if (leaseId === undefined) return;
      const ended = await store.endLease(leaseId);
      if (ended.isErr()) failed('leaving', ended.error);
      else report('left', `lease ${leaseId}`);
    },
  };
};
