/** Queries that an instance sends to its peers instead of the store. */
import type { ResultAsync } from 'neverthrow';
import type { StoreMoment } from '@cardamomladder/types';
import type { FactChanges, FactList, InstanceEntry, StoreFailure } from './records';

/** A peer's response: the changes after the requested revision, or the full list if the peer no longer keeps these changes. `storeReachedForMs` is how long the peer has been connected to the store; unset while it is not. */
export interface PeerAnswer {
  storeReachedForMs?: number;
  changes?: FactChanges;
  list?: FactList;
}

/** Requests the full list from a peer named in the settings; undefined if no such peer has the list and reaches the store. */
export type SnapshotQuestion = () => Promise<FactList | undefined>;

/** Queries several peers for records newer than `known`; an empty array if none responds. */
export type PeerQuestion = (known: StoreMoment) => Promise<PeerAnswer[]>;

/** Changes from a relay, and the time since the store last responded to that relay, ms. */
export interface FollowedFacts extends FactChanges {
  storeHeardMsAgo: number;
  /** The full list instead of changes, if the relay no longer keeps these changes. */
  list?: FactList;
}

/**
 * Long-polls a relay for changes after `known`. Fails like a store call, and also
 * with `unavailable` if the peer is not watching the store.
 */
export type PeerWatch = (
  peer: InstanceEntry,
  known: StoreMoment,
  waitMs: number,
) => ResultAsync<FollowedFacts, StoreFailure>;
