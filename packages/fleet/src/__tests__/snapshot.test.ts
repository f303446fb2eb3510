/** How a fresh instance gets its first facts, and goes on from them. */
import { errAsync, ok, okAsync } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';
import { NEVER } from 'rxjs';
import { describe, expect, it } from 'vitest';
import type { FactList, Store, StoreFailure } from '..';
import { Beliefs, pack, unpackFacts } from '..';
import { FIRST_EPOCH, followAlone } from '../__fixtures__/follower';
import { targetRecord } from '../__fixtures__/instances';

const LIST: FactList = {
  records: [targetRecord('t-1', 3), targetRecord('t-2', 7)],
  epoch: FIRST_EPOCH,
  revision: 9,
};

/** Follows for a while; tells which calls the store got, in order. */
const storeCallsWith = async (
  snapshot: FactList | undefined | Promise<FactList | undefined>,
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
      return okAsync({ changes, epoch: FIRST_EPOCH, revision: 10 });
    },
    instanceKey: (id: string) => `instances/${id}`,
    epochs: NEVER,
  } as unknown as Store;
  const beliefs = new Beliefs();
  const follower = followAlone({
    store,
    beliefs,
    askSnapshot: async () => snapshot,
  });
  await sleep(followedForMs);
  const heardMsAgo = follower.storeHeardMsAgo();
  follower.stop();
  return { calls: calls.slice(0, 3), beliefs, heardMsAgo };
};

describe('the first facts of a fresh instance', () => {
  it('come from a peer, and the changes since then from the store by revision', async () => {
    // Symptom: a fleet of 195 that starts makes 390 list calls and decodes
    // 150,000 entries within a second. Cause: each listed for itself.
    const { calls, beliefs } = await storeCallsWith(LIST);
    expect(calls[0]).toBe('watch after 9');
    expect(['t-1', 't-2', 't-3'].every((id) => beliefs.holds(`targets/${id}`))).toBe(true);
  });

  it('come from the store where no peer has them', async () => {
    const { calls } = await storeCallsWith(undefined);
    expect(calls.slice(0, 2)).toEqual(['list', 'watch after 9']);
  });
});

describe('a fresh instance beside a peer that is dark', () => {
  it('lists at the store without waiting for it, and takes its answer where the store has none', async () => {
    // Symptom: after a power loss of the whole fleet callers are refused for
    // a second longer. Sequence: the strong instances are up first and ask
    // the peers that their settings name, which are still dark; connections
    // to these hang. Cause: the store was asked only after the peer's time.
    const silent = new Promise<undefined>(() => {});
    const { calls } = await storeCallsWith(silent, undefined, 200);
    expect(calls.slice(0, 2)).toEqual(['list', 'watch after 9']);
    const late = sleep(150).then(() => LIST);
    const away = await storeCallsWith(late, undefined, 250, true);
    expect(away.calls.slice(0, 2)).toEqual(['list', 'watch after 9']);
    expect(away.beliefs.holds('targets/t-2')).toBe(true);
  });

  it('tells peers that the store never answered it in a form that JSON keeps', async () => {
    // Symptom: followers take an outage for over. Sequence: one that has only
    // a peer's facts begins to watch while the store is away, and is asked.
    // Cause: "never" as infinity becomes null in JSON, which is below any age.
    const down: StoreFailure = { kind: 'unavailable', message: 'down' };
    const { heardMsAgo } = await storeCallsWith(LIST, () => down);
    expect(JSON.parse(JSON.stringify(heardMsAgo))).toBeGreaterThan(1e9);
  });
});

describe('a watch that failed', () => {
  it('is asked again from the same revision: a list of all entries is for a lost history only', async () => {
    // Symptom: after a short outage every instance lists and decodes all
    // entries at once. Cause: any failure led to a list, though a watch from
    // the same revision misses nothing.
    const down: StoreFailure = { kind: 'unavailable', message: 'down' };
    const { calls } = await storeCallsWith(LIST, (call) => (call === 1 ? down : undefined));
    expect(calls.slice(0, 2)).toEqual(['watch after 9', 'watch after 9']);
  });

  it('leads to a list when the history is gone', async () => {
    const gone: StoreFailure = { kind: 'history-gone', message: 'gone' };
    const { calls } = await storeCallsWith(LIST, (call) => (call === 1 ? gone : undefined));
    expect(calls.slice(0, 2)).toEqual(['watch after 9', 'list']);
  });
});

describe('a packed list', () => {
  it('is the same list once unpacked', async () => {
    expect(await unpackFacts(await pack(LIST))).toEqual(ok(LIST));
  });

  it('is refused when it was cut, or is something else', async () => {
    const packed = await pack(LIST);
    const others = [packed.slice(0, packed.length / 2), '', '!', await pack([] as never)];
    const read = await Promise.all(others.map((text) => unpackFacts(text)));
    const problems = read.map((result) => (result.isErr() ? result.error.kind : 'taken'));
    expect(problems).toEqual(others.map(() => 'unreadable'));
  });
});
