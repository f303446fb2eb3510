/** Beliefs only move forward, whatever order changes come in. */
import fc from 'fast-check';
import { errAsync, okAsync } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';
import { NEVER } from 'rxjs';
import { describe, expect, it } from 'vitest';
import type { Configuration } from '@cardamomladder/routing';
import { configurationVersion } from '@cardamomladder/types';
import type { FactChange, FactChanges, FactList, Store } from '..';
import { Beliefs, follow } from '..';
import { FIRST_EPOCH } from '../__fixtures__/follower';
import { instanceAt, targetRecord } from '../__fixtures__/instances';

const configuration = (version: number): Configuration => ({
  version: configurationVersion(version),
  routes: [],
  services: [],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});
describe('beliefs', () => {
  it('never put an older configuration in force', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.integer({ min: 1, max: 50 }), fc.integer({ min: 1, max: 50 })), {
          maxLength: 60,
        }),
        (writes) => {
          const beliefs = new Beliefs();
          let inForce = 0;
          writes.forEach(([revision, version]) => {
            const fact = { kind: 'configuration' as const, configuration: configuration(version) };
            beliefs.take({ key: 'configuration', revision, fact });
            const now = beliefs.configuration?.version ?? 0;
            expect(now).toBeGreaterThanOrEqual(inForce);
            inForce = now;
          });
        },
      ),
    );
  });
});

describe('the follower', () => {
  it('does not bring back a target that a later list had removed', async () => {
    // Symptom: requests go to a target that left seconds ago. Sequence: a
    // watch is under way; the store turns the instance away and a peer's list
    // of a later state comes in, without the target; then the watch's answer
    // arrives after all, with the target's earlier entry. Cause: an entry was
    // compared with the one held, and none is held for a removed target.
    const beliefs = new Beliefs();
    let answerWatch: (changes: FactChange[]) => void = () => {};
    const later: FactList = { records: [], epoch: FIRST_EPOCH, revision: 9 };
    const store = {
      list: () => okAsync({ records: [], epoch: FIRST_EPOCH, revision: 3 }),
      epochs: NEVER,
      watch: () =>
        okAsync(undefined)
          .andThen(() => okAsync(undefined))
          .map(
            () =>
              new Promise<FactChanges>((resolve) => {
                answerWatch = (changes) => resolve({ changes, epoch: FIRST_EPOCH, revision: 5 });
              }),
          ),
    } as unknown as Store;
    const follower = follow({
      store,
      beliefs,
      self: instanceAt('i-1', 'north-a', 'north'),
      askPeers: async () => [],
      askSnapshot: async () => undefined,
      watchPeer: () => errAsync({ kind: 'unavailable', message: 'no peer' }),
      now: () => performance.now(),
      random: () => 0.5,
      report: () => {},
    });
    await sleep(20);
    later.records.forEach((record) => beliefs.take(record));
    beliefs.advance(later.revision);
    answerWatch([targetRecord('t-1', 4)]);
    await sleep(20);
    follower.stop();
    expect(beliefs.holds('targets/t-1')).toBe(false);
  });
});
