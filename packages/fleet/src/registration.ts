/**
 * Maintains this instance's entry in the store while it serves callers. The entry
 * is bound to a lease, so a killed instance disappears from directory responses
 * automatically. The lease can expire while the instance is paused or rejected
 * by the store, and the entry can be removed without any failed call. Both cases
 * are detected (the renewal fails, or the entry is missing from the followed
 * records) and handled by registering again. A store restored from an older copy
 * may lack the entry and the lease, and may have assigned the lease id to
 * another instance.
 */
import type { StorePosition } from '@cardamomladder/types';
import type { ClusterState } from './clusterState';
import type { InstanceEntry, Store, StoreFailure } from './records';

/** Lease TTL, ms: dead instances must disappear from directory responses within 6 s, and callers cache responses for 2 s. */
export const REGISTRATION_TTL_MS = 3000;
/** Lease renewal interval, ms: two consecutive renewals may fail before the lease expires. */
export const RENEW_INTERVAL_MS = 1000;
/** Without a good renewal for this long, ms, one is failing or hangs; half of the lease is left then. */
const CONFIRMED_FOR_MS = 1500;
/** Maximum number of consecutive ticks skipped after repeated failures: otherwise, if the store rejected a third of a large fleet, those instances would request a hundred leases per second. */
const MAX_SKIPPED_ATTEMPTS = 1;
/** A new entry must appear among the followed records within this time, ms; otherwise it is written again. */
const VISIBLE_WITHIN_MS = 2500;

/** A registration that is being maintained. */
export interface Registration {
  /** False from the first renewal or registration that fails or hangs on, until one succeeds. */
  isConfirmed: () => boolean;
  /** Writes the entry again, because it has changed. */
  update: () => void;
  /** Removes the entry, so that the directory no longer lists this instance. */
  deregister: () => Promise<void>;
}

/** Options of `startRegistration`. */
export interface RegistrationOptions {
  store: Store;
  clusterState: ClusterState;
  self: InstanceEntry;
  /** The current entry of this instance; `self` by default. */
  entry?: () => InstanceEntry;
  now: () => number;
  /** Called for each registration, lapse, failure and removal. */
  report: (event: 'registered' | 'lapsed' | 'failed' | 'left', detail: string) => void;
}

/** Registers this instance and maintains the registration until `deregister` is called. */
export const startRegistration = (options: RegistrationOptions): Registration => {
  const { store, clusterState, self, now, report, entry = () => self } = options;
  const key = store.instanceKey(self.id);
  let leaseId: number | undefined;
  let writtenAt = 0;
  /** Store position at which the entry was written. */
  let entryPosition: StorePosition | undefined;
  let stopped = false;
  let busy = false;
  /** Whether to run another tick as soon as the current one completes. */
  let rerun = false;
  /** When the store last confirmed the registration; unset after a failure. */
  let confirmedAt: number | undefined;
  let failures = 0;
  let skipped = 0;
  /** The entry that was written last, as text. */
  let writtenEntry = '';

  const reportFailure = (step: string, failure: StoreFailure) =>
    report('failed', `${step}: ${failure.message}`);

  const writeEntry = async (lease: number): Promise<void> => {
    const current = entry();
    const asMember = !clusterState.hasRecord(store.memberKey(self.id));
    const written = await store.register(current, lease, asMember);
    confirmedAt = written.isOk() ? now() : undefined;
    if (written.isErr()) {
      reportFailure('entry', written.error);
      return;
    }
    leaseId = lease;
    entryPosition = written.value;
    writtenAt = now();
    writtenEntry = JSON.stringify(current);
    report('registered', `lease ${leaseId}`);
  };

  const register = async (): Promise<void> => {
    const lease = await store.grantLease(REGISTRATION_TTL_MS);
    if (lease.isErr()) {
      failures += 1;
      reportFailure('lease', lease.error);
      return;
    }
    failures = 0;
    if (stopped) return;
    await writeEntry(lease.value.id);
  };

  const updateEntry = async (lease: number): Promise<void> => {
    if (JSON.stringify(entry()) !== writtenEntry) await writeEntry(lease);
  };

  const maintain = async (): Promise<void> => {
    if (leaseId === undefined) {
      if (failures > 1 && skipped < MAX_SKIPPED_ATTEMPTS) {
        skipped += 1;
        return;
      }
      skipped = 0;
      await register();
      return;
    }
    // An entry that another writer made unreadable counts as missing.
    const missing =
      clusterState.valueAt(key)?.kind !== 'instance' && now() - writtenAt > VISIBLE_WITHIN_MS;
    const renewed = missing ? undefined : await store.renewLease(leaseId);
    confirmedAt = renewed?.isOk() ? now() : undefined;
    if (renewed?.isOk()) {
      await updateEntry(leaseId);
      return;
    }
    if (renewed?.isErr() && renewed.error.kind !== 'lease-ended') {
      reportFailure('renewal', renewed.error);
      return;
    }
    report(
      'lapsed',
      missing ? 'the entry is missing from the followed records' : 'the lease has expired',
    );
    leaseId = undefined;
    await register();
  };

  const tick = async (): Promise<void> => {
    if (stopped || busy) return;
    busy = true;
    try {
      await maintain();
    } finally {
      busy = false;
    }
    if (!rerun) return;
    rerun = false;
    await tick();
  };
  const runTick = (): void => {
    tick().catch((error: Error) => report('failed', error.message));
  };
  const timer = setInterval(runTick, RENEW_INTERVAL_MS);
  runTick();
  const restoredSubscription = clusterState.changes.subscribe((change) => {
    if (change.kind !== 'restored' || !entryPosition || entryPosition.epoch === change.epoch)
      return;
    if (clusterState.revisionOf(key) === entryPosition.revision) {
      entryPosition = { ...entryPosition, epoch: change.epoch };
      return;
    }
    report('lapsed', `the entry is missing in epoch ${change.epoch} of the store`);
    leaseId = undefined;
    entryPosition = undefined;
    confirmedAt = undefined;
    rerun = busy;
    runTick();
  });

  return {
    isConfirmed: () => confirmedAt !== undefined && now() - confirmedAt <= CONFIRMED_FOR_MS,
    update: () => {
      rerun = busy;
      runTick();
    },
    deregister: async () => {
      stopped = true;
      clearInterval(timer);
      restoredSubscription.unsubscribe();
      if (leaseId === undefined) return;
      const ended = await store.endLease(leaseId);
      if (ended.isErr()) reportFailure('leaving', ended.error);
      else report('left', `lease ${leaseId}`);
    },
  };
};
