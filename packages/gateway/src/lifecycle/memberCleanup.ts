/** Removes the records of members that have left the fleet for good. */
import type { ClusterState, Store } from '@cardamomladder/fleet';
import type { InstanceId } from '@cardamomladder/types';
import type { Subscription } from 'rxjs';
import { interval } from 'rxjs';
import type { DecisionLog } from '../decisionLog';

/** How long a member's entry is missing before its record is removed, ms: far longer than a restart or an outage of the store takes. */
const MISSING_FOR_MS = 300_000;
const CHECK_INTERVAL_MS = 30_000;

/** Dependencies of the cleanup. */
export interface MemberCleanupOptions {
  store: Pick<Store, 'removeMembers'>;
  clusterState: ClusterState;
  self: InstanceId;
  log: DecisionLog;
  now: () => number;
}

/** Starts the cleanup. Of the registered instances, the one with the lowest id removes records. */
export const startMemberCleanup = (options: MemberCleanupOptions): Subscription => {
  const { store, clusterState, self, log, now } = options;
  const missingSince = new Map<InstanceId, number>();

  const missingMembers = (): InstanceId[] => {
    const { members, instances } = clusterState;
    const missing = [...members].filter((id) => !instances.has(id));
    [...missingSince.keys()]
      .filter((id) => !missing.includes(id))
      .forEach((id) => missingSince.delete(id));
    missing.filter((id) => !missingSince.has(id)).forEach((id) => missingSince.set(id, now()));
    return missing.filter((id) => now() - (missingSince.get(id) ?? now()) >= MISSING_FOR_MS);
  };

  const check = async (): Promise<void> => {
    const gone = missingMembers();
    const [first] = [...clusterState.instances.keys()].sort();
    if (gone.length === 0 || first !== self) return;
    const removed = await store.removeMembers(gone);
    log.write('registration', undefined, {
      event: 'members removed',
      ids: gone,
      failure: removed.isErr() ? removed.error.message : undefined,
    });
  };

  return interval(CHECK_INTERVAL_MS).subscribe(() => {
    check().catch((error: Error) =>
      log.write('registration', undefined, { event: 'failed', detail: error.message }),
    );
  });
};
