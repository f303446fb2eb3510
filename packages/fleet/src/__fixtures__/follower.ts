/** Creates followers with defaults for tests. */
import { errAsync } from 'neverthrow';
import { storeEpoch } from '@cardamomladder/types';
import type { Follower, FollowerOptions, StoreFailure } from '..';
import { ClusterState, follow } from '..';
import { instanceAt } from './instances';

/** The epoch of a store that has never been restored. */
export const INITIAL_EPOCH = storeEpoch(0);

/** The failure returned by unavailable stores and peers in tests. */
export const STORE_DOWN: StoreFailure = { kind: 'unavailable', message: 'down' };

/** Follows `store` as instance i-1, without peers unless the test provides them. */
export const followWithoutPeers = ({
  store,
  ...rest
}: Pick<FollowerOptions, 'store'> & Partial<FollowerOptions>): Follower =>
  follow({
    store,
    clusterState: new ClusterState(),
    self: instanceAt('i-1', 'north-a', 'north'),
    queryPeers: async () => [],
    requestSnapshot: async () => undefined,
    watchPeer: () => errAsync(STORE_DOWN),
    now: () => performance.now(),
    random: () => 0.5,
    report: () => {},
    ...rest,
  });
