/** What is believed after an outage of the store, by what peers said meanwhile. */
import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import { setTimeout as sleep } from 'node:timers/promises';
import { NEVER } from 'rxjs';
import { describe, expect, it } from 'vitest';
import type { FactChanges, PeerAnswer, Store, StoreFailure } from '..';
import { Beliefs } from '..';
import { DOWN, FIRST_EPOCH, followAlone } from '../__fixtures__/follower';
import { instanceAt, registeredInstances, targetRecord } from '../__fixtures__/instances';

/** Longer than entries outlive an outage, ms. */
const OUTAGE_MS = 1300;
/** Longer than removals are held, ms. */
const HELD_MS = 2500;

/** A store that is away for a while and has lost the target's entry when it is back. */
const storeWithOutage = (history: 'kept' | 'gone') => {
  let away = false;
  let wasAway = false;
  let listed = 0;
  // A store that lost nothing of its history tells of the removal; one that
  // forgot it has to be listed.
  let told = false;
  const afterOutage = () => {
    if (!wasAway || told || listed > 1)
      return okAsync({ changes: [], epoch: FIRST_EPOCH, revision: 3 });
    if (history === 'gone')
      return errAsync<FactChanges, StoreFailure>({ kind: 'history-gone', message: 'gone' });
    told = true;
    const removal = { key: 'targets/t-1', revision: 4, removed: true as const };
    return okAsync({ changes: [removal], epoch: FIRST_EPOCH, revision: 4 });
  };
  const store = {
    list: () => {
      if (away) return errAsync(DOWN);
      listed += 1;
      return okAsync({
        records: listed === 1 ? [targetRecord('t-1', 3)] : [],
        epoch: FIRST_EPOCH,
        revision: 2 + listed,
      });
    },
    watch: () =>
      ResultAsync.fromSafePromise(sleep(20)).andThen(() => (away ? errAsync(DOWN) : afterOutage())),
    instanceKey: (id: string) => `instances/${id}`,
    epochs: NEVER,
  } as unknown as Store;
  return {
    store,
    setAway: (value: boolean) => {
      away = value;
      wasAway ||= value;
    },
    back: () => told || listed > 1,
  };
};

const beliefsAfterOutage = async (
  peers: (awayMs: number) => PeerAnswer[],
  history: 'kept' | 'gone',
): Promise<{ heldAtOnce: boolean }> => {
  const beliefs = new Beliefs();
  const { store, setAway, back } = storeWithOutage(history);
  let awaySince = 0;
  const follower = followAlone({
    store,
    beliefs,
    askPeers: async () => peers(performance.now() - awaySince),
  });
  await sleep(50);
  awaySince = performance.now();
  setAway(true);
  await sleep(OUTAGE_MS);
  setAway(false);
  while (!back()) await sleep(10);
  await sleep(50);
  follower.stop();
  return { heldAtOnce: beliefs.holds('targets/t-1') };
};

/** How long a call to a silent store takes to fail beyond its own wait, ms. */
const CALL_LIMIT_MS = 450;

/** A store that knows a relay and this instance, and falls silent. */
const silentStore = () => {
  const instances = registeredInstances(2);
  let silent = false;
  const after = (ms: number) => ResultAsync.fromSafePromise(sleep(ms));
  const store = {
    list: () =>
      silent
        ? after(CALL_LIMIT_MS).andThen(() => errAsync(DOWN))
        : okAsync({ records: instances, epoch: FIRST_EPOCH, revision: 2 }),
    watch: (_: number, waitMs: number) =>
      after(waitMs + CALL_LIMIT_MS).andThen(() =>
        silent ? errAsync(DOWN) : okAsync({ changes: [], epoch: FIRST_EPOCH, revision: 2 }),
      ),
    instanceKey: (id: string) => `instances/${id}`,
    epochs: NEVER,
  } as unknown as Store;
  return {
    store,
    fallSilent: () => {
      silent = true;
    },
  };
};

/** How long after the store's loss a follower counts it, ms, when its second relay notices a second late. */
const lossCountedAfter = async (travelMs: number): Promise<number> => {
  const instances = registeredInstances(20);
  let away = false;
  const store = {
    list: () => okAsync({ records: instances, epoch: FIRST_EPOCH, revision: 20 }),
    watch: () =>
      ResultAsync.fromSafePromise(sleep(10)).andThen(() =>
        away ? errAsync(DOWN) : okAsync({ changes: [], epoch: FIRST_EPOCH, revision: 20 }),
      ),
    instanceKey: (id: string) => `instances/${id}`,
    epochs: NEVER,
  } as unknown as Store;
  let firstAsked: string | undefined;
  let lostAt = Infinity;
  const follower = followAlone({
    store,
    self: instanceAt('i-19', 'north-a', 'north'),
    watchPeer: (peer) =>
      ResultAsync.fromSafePromise(sleep(20)).andThen(() => {
        firstAsked ??= peer.id;
        const heardBefore = Math.max(0, performance.now() - lostAt);
        const noticed = peer.id === firstAsked ? heardBefore > 0 : heardBefore > 1000;
        if (noticed) return errAsync(DOWN);
        const answer = {
          changes: [],
          epoch: FIRST_EPOCH,
          revision: 20,
          storeHeardMsAgo: heardBefore,
        };
        return ResultAsync.fromSafePromise(sleep(travelMs, answer));
      }),
  });
  await sleep(200);
  away = true;
  lostAt = performance.now();
  while (follower.status.value.reached) await sleep(10);
  follower.stop();
  return follower.status.value.since - lostAt;
};

describe('an instance that follows the store through another', () => {
  it('says at once that it watches the store itself when the other one has left', async () => {
    // Symptom: a second of needless calls to the store after a relay has
    // stopped. Sequence: the next one in line begins to watch; its followers
    // ask it and hear that it does not. Cause: it counted as watching only
    // when its first watch had ended, which waits for a change.
    const instances = registeredInstances(2);
    const gone = { key: 'instances/i-0', revision: 3, removed: true as const };
    const store = {
      list: () => okAsync({ records: instances, epoch: FIRST_EPOCH, revision: 2 }),
      watch: (_: number, waitMs: number) =>
        ResultAsync.fromSafePromise(sleep(waitMs)).map(() => ({
          changes: [],
          epoch: FIRST_EPOCH,
          revision: 3,
        })),
      instanceKey: (id: string) => `instances/${id}`,
      epochs: NEVER,
    } as unknown as Store;
    const follower = followAlone({
      store,
      watchPeer: () =>
        okAsync({ changes: [gone], epoch: FIRST_EPOCH, revision: 3, storeHeardMsAgo: 0 }),
    });
    await sleep(600);
    follower.stop();
    expect(follower.status.value).toMatchObject({ reached: true, through: undefined });
  });

  it('counts an outage from the first relay that told of it, though the next has not noticed', async () => {
    // Symptom: all requests are refused just after the store returns.
    // Sequence: the first relay loses the store and says so; the second one's
    // watch still waits, so it answers as if nothing were wrong, and is found
    // out a second later. Cause: its answer counted as the store's.
    expect(await lossCountedAfter(0)).toBeLessThan(150);
  });

  it('counts it so though the answer of the one that has not noticed is under way for long', async () => {
    // Sequence: that answer says how long ago the store was heard when it was
    // written; it is read later, and the time on the way makes the store seem
    // to have been heard since. Cause: its age was compared as of the reading.
    expect(await lossCountedAfter(100)).toBeLessThan(150);
  });

  it('takes the store as away from when the other one lost it, within one call', async () => {
    // Symptom: all requests are refused just after the store returns.
    // Sequence: the store falls silent; the relay finds out and says so; its
    // followers ask the store themselves, which takes a watch's whole wait to
    // fail, and count the outage from then. The store returns within a
    // second: to them the outage was too short for entries to have lapsed.
    // Cause: the time since the relay's loss was not counted.
    const { store, fallSilent } = silentStore();
    let relayLost = false;
    const follower = followAlone({
      store,
      watchPeer: () =>
        ResultAsync.fromSafePromise(sleep(20)).andThen(() =>
          relayLost
            ? errAsync(DOWN)
            : okAsync({ changes: [], epoch: FIRST_EPOCH, revision: 2, storeHeardMsAgo: 0 }),
        ),
    });
    await sleep(100);
    expect(follower.status.value.through?.id).toBe('i-0');
    fallSilent();
    relayLost = true;
    const lostAt = performance.now();
    await sleep(CALL_LIMIT_MS + 250);
    follower.stop();
    const { reached, since } = follower.status.value;
    expect(reached).toBe(false);
    expect(since - lostAt).toBeLessThan(100);
  });
});

describe('a target whose entry is missing after an outage', () => {
  // Guards against all targets being dropped while the store is away again and none can be written again.
  it('is kept while the store is away again', async () => {
    const beliefs = new Beliefs();
    const { store, setAway, back } = storeWithOutage('kept');
    const follower = followAlone({ store, beliefs });
    await sleep(50);
    setAway(true);
    await sleep(OUTAGE_MS);
    setAway(false);
    while (!back()) await sleep(10);
    await sleep(500);
    setAway(true);
    await sleep(HELD_MS);
    const heldMeanwhile = beliefs.holds('targets/t-1');
    setAway(false);
    await sleep(HELD_MS + OUTAGE_MS);
    follower.stop();
    expect({ heldMeanwhile, heldInTheEnd: beliefs.holds('targets/t-1') }).toEqual({
      heldMeanwhile: true,
      heldInTheEnd: false,
    });
  });
});

describe.each(['kept', 'gone'] as const)(
  'a target whose entry is missing after an outage, with the history %s',
  (history) => {
    it('is kept for a while though a peer had not noticed the outage at first', async () => {
      // Symptom: all requests are refused just after the store returns.
      // Sequence: the store goes away; a peer asked at once has not noticed and
      // says that it reaches it; the store returns without the entries that
      // lapsed. Cause: one such answer counted for the whole outage.
      const { heldAtOnce } = await beliefsAfterOutage(
        (awayMs) => (awayMs < 400 ? [{ storeReachedForMs: 60_000 }] : [{}]),
        history,
      );
      expect(heldAtOnce).toBe(true);
    });

    it('is kept for a while though a peer regained the store a moment earlier', async () => {
      const { heldAtOnce } = await beliefsAfterOutage(
        (awayMs) => (awayMs > OUTAGE_MS - 350 ? [{ storeReachedForMs: 100 }] : [{}]),
        history,
      );
      expect(heldAtOnce).toBe(true);
    });

    it('is gone when a peer reached the store all the while', async () => {
      const { heldAtOnce } = await beliefsAfterOutage(
        () => [{ storeReachedForMs: 60_000 }],
        history,
      );
      expect(heldAtOnce).toBe(false);
    });
  },
);
