/** A follower in tests: nothing but what the test is about. */
import { errAsync } from 'neverthrow';
import { storeEpoch } from '@cardamomladder/types';
import type { Follower, FollowerOptions, StoreFailure } from '..';
import { Beliefs, follow } from '..';
import { instanceAt } from './instances';

/** The epoch of a store that never came back from an older copy. */
export const FIRST_EPOCH = storeEpoch(0);

/** How the store and peers fail in tests. */
export const DOWN: StoreFailure = { kind: 'unavailable', message: 'down' };

/** Follows `store` without peers, unless the test names some, as the instance i-1. */
export const followAlone = ({
  store,
  ...rest
}: Pick<FollowerOptions, 'store'> & Partial<FollowerOptions>): Follower =>
  follow({
    store,
    beliefs: new Beliefs(),
    self: instanceAt('i-1', 'north-a', 'north'),
    askPeers: async () => [],
    askSnapshot: async () => undefined,
    watchPeer: () => errAsync(DOWN),
    now: () => performance.now(),
    random: () => 0.5,
    report: () => {},
    ...rest,
  });
