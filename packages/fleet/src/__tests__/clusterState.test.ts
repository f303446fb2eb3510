/** The cluster state is monotonic, regardless of the order in which changes arrive. */
import fc from 'fast-check';
import { errAsync, okAsync } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';
import { NEVER } from 'rxjs';
import { describe, expect, it } from 'vitest';
import type { Configuration } from '@cardamomladder/routing';
import { configurationVersion } from '@cardamomladder/types';
import type { RecordChange, RecordChanges, RecordList, Store } from '..';
import { ClusterState, follow } from '..';
import { INITIAL_EPOCH } from '../__fixtures__/follower';
import { instanceAt, targetRecord } from '../__fixtures__/instances';

const configuration = (version: number): Configuration => ({
  version: configurationVersion(version),
  routes: [],
  services: [],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});
describe('the cluster state', () => {
  it('never activates an older configuration', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.integer({ min: 1, max: 50 }), fc.integer({ min: 1, max: 50 })), {
          maxLength: 60,
        }),
        (writes) => {
          const clusterState = new ClusterState();
          let inForce = 0;
          writes.forEach(([revision, version]) => {
            const fact = { kind: 'configuration' as const, configuration: configuration(version) };
            clusterState.applyChange({ key: 'configuration', revision, fact });
            const now = clusterState.configuration?.version ?? 0;
            expect(now).toBeGreaterThanOrEqual(inForce);
            inForce = now;
          });
        },
      ),
    );
  });
});

describe('the follower', () => {
  it('does not restore a target that a later list removed', async () => {
    // Guards against sending requests to a target that left seconds ago: while a
    // watch is pending, the store rejects the instance and a peer's later list
    // arrives without the target; then the watch responds with the target's
    // earlier entry. Entries used to be compared only with the current record,
    // and a removed target has none.
    const clusterState = new ClusterState();
    let answerWatch: (changes: RecordChange[]) => void = () => {};
    const later: RecordList = { records: [], epoch: INITIAL_EPOCH, revision: 9 };
    const store = {
      list: () => okAsync({ records: [], epoch: INITIAL_EPOCH, revision: 3 }),
      epochs: NEVER,
      watch: () =>
        okAsync(undefined)
          .andThen(() => okAsync(undefined))
          .map(
            () =>
              new Promise<RecordChanges>((resolve) => {
                answerWatch = (changes) => resolve({ changes, epoch: INITIAL_EPOCH, revision: 5 });
              }),
          ),
    } as unknown as Store;
    const follower = follow({
      store,
      clusterState,
      self: instanceAt('i-1', 'north-a', 'north'),
      queryPeers: async () => [],
      requestSnapshot: async () => undefined,
      watchPeer: () => errAsync({ kind: 'unavailable', message: 'no peer' }),
      now: () => performance.now(),
      random: () => 0.5,
      report: () => {},
    });
    await sleep(20);
    later.records.forEach((record) => clusterState.applyChange(record));
    clusterState.advanceTo(later.revision);
    answerWatch([targetRecord('t-1', 4)]);
    await sleep(20);
    follower.stop();
    expect(clusterState.hasRecord('targets/t-1')).toBe(false);
  });
});
