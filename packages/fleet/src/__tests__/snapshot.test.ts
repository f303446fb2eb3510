/** How a new instance obtains its first records and continues from them. */
import { errAsync, ok, okAsync } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';
import { NEVER } from 'rxjs';
import { describe, expect, it } from 'vitest';
import type { RecordList, Store, StoreFailure } from '..';
import { ClusterState, pack, unpackList } from '..';
import { INITIAL_EPOCH, followWithoutPeers } from '../__fixtures__/follower';
import { targetRecord } from '../__fixtures__/instances';

const LIST: RecordList = {
  records: [targetRecord('t-1', 3), targetRecord('t-2', 7)],
  epoch: INITIAL_EPOCH,
  revision: 9,
};

/** Follows the store for a while and records the calls it receives, in order. */
const recordStoreCalls = async (
  snapshot: RecordList | undefined | Promise<RecordList | undefined>,
  watch: (call: number) => StoreFailure | undefined = () => undefined,
  followedForMs = 80,
  listFails = false,
) => {
  const calls: string[] = [];
  const store = {
    list: () => {
      calls.push('list');
      if (listFails) return errAsync({ kind: 'unavailable', message: 'away' });
      return okAsync(LIST);
    },
    watch: (revision: number) => {
      calls.push(`watch after ${revision}`);
      const failure = watch(calls.length);
      if (failure) return errAsync(failure);
      const record = targetRecord('t-3', 10);
      const changes = revision < 10 ? [record] : [];
      return okAsync({ changes, epoch: INITIAL_EPOCH, revision: 10 });
    },
    instanceKey: (id: string) => `instances/${id}`,
    epochs: NEVER,
  } as unknown as Store;
  const clusterState = new ClusterState();
  const follower = followWithoutPeers({
    store,
    clusterState,
    requestSnapshot: async () => snapshot,
  });
  await sleep(followedForMs);
  const heardMsAgo = follower.storeHeardMsAgo();
  follower.stop();
  return { calls: calls.slice(0, 3), clusterState, heardMsAgo };
};

describe('the first records of a new instance', () => {
  it('come from a peer, and the changes since then from the store by revision', async () => {
    // Guards against a list call by every instance at startup: in a fleet of 195,
    // this caused 390 list calls and 150,000 decoded entries within a second.
    const { calls, clusterState } = await recordStoreCalls(LIST);
    expect(calls[0]).toBe('watch after 9');
    expect(['t-1', 't-2', 't-3'].every((id) => clusterState.hasRecord(`targets/${id}`))).toBe(true);
  });

  it('come from the store if no peer has them', async () => {
    const { calls } = await recordStoreCalls(undefined);
    expect(calls.slice(0, 2)).toEqual(['list', 'watch after 9']);
  });
});

describe('a new instance whose peer does not respond', () => {
  it('lists from the store without waiting for the peer, and uses the peer response if the store fails', async () => {
    // Guards against rejecting callers for an extra second after a power loss of
    // the whole fleet: the high-capacity instances start first and query the peers
    // named in their settings, which are still down, so the connections hang. The
    // store used to be queried only after the peer request had timed out.
    const silent = new Promise<undefined>(() => {});
    const { calls } = await recordStoreCalls(silent, undefined, 200);
    expect(calls.slice(0, 2)).toEqual(['list', 'watch after 9']);
    const late = sleep(150).then(() => LIST);
    const afterStoreFailure = await recordStoreCalls(late, undefined, 250, true);
    expect(afterStoreFailure.calls.slice(0, 2)).toEqual(['list', 'watch after 9']);
    expect(afterStoreFailure.clusterState.hasRecord('targets/t-2')).toBe(true);
  });

  it('reports that the store never responded to it in a form that JSON preserves', async () => {
    // Guards against followers treating an outage as over: an instance that has
    // only a peer's records starts to watch while the store is unavailable and
    // serves as a relay. "Never" as `Infinity` became null in JSON, which compares
    // as lower than any age.
    const down: StoreFailure = { kind: 'unavailable', message: 'down' };
    const { heardMsAgo } = await recordStoreCalls(LIST, () => down);
    expect(JSON.parse(JSON.stringify(heardMsAgo))).toBeGreaterThan(1e9);
  });
});

describe('a watch that failed', () => {
  it('is repeated from the same revision: a list is needed only if the history is no longer available', async () => {
    // Guards against every instance listing and decoding all entries after a
    // short outage: any failure used to trigger a list, although a watch from the
    // same revision misses no change.
    const down: StoreFailure = { kind: 'unavailable', message: 'down' };
    const { calls } = await recordStoreCalls(LIST, (call) => (call === 1 ? down : undefined));
    expect(calls.slice(0, 2)).toEqual(['watch after 9', 'watch after 9']);
  });

  it('triggers a list if the history is no longer available', async () => {
    const gone: StoreFailure = { kind: 'history-gone', message: 'gone' };
    const { calls } = await recordStoreCalls(LIST, (call) => (call === 1 ? gone : undefined));
    expect(calls.slice(0, 2)).toEqual(['watch after 9', 'list']);
  });
});

describe('a packed list', () => {
  it('is unchanged after unpacking', async () => {
    expect(await unpackList(await pack(LIST))).toEqual(ok(LIST));
  });

  it('is rejected if it is truncated or not a list', async () => {
    const packed = await pack(LIST);
    const others = [packed.slice(0, packed.length / 2), '', '!', await pack([] as never)];
    const read = await Promise.all(others.map((text) => unpackList(text)));
    const problems = read.map((result) => (result.isErr() ? result.error.kind : 'taken'));
    expect(problems).toEqual(others.map(() => 'unreadable'));
  });
});
