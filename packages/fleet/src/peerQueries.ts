/** Queries that an instance sends to its peers instead of the store. */
import type { ResultAsync } from 'neverthrow';
import type { StorePosition } from '@cardamomladder/types';
import type { RecordChanges, RecordList, InstanceEntry, StoreFailure } from './records';

/** A peer's response: the changes after the requested revision, or the full list if the peer no longer keeps these changes. `storeReachedForMs` is how long the peer has been connected to the store; unset while it is not. */
export interface PeerResponse {
  storeReachedForMs?: number;
  changes?: RecordChanges;
  list?: RecordList;
}

/** Requests the full list from a peer named in the settings; undefined if no such peer has the list and reaches the store. */
export type SnapshotQuery = () => Promise<RecordList | undefined>;

/** Queries several peers for records newer than `known`; an empty array if none responds. */
export type PeerQuery = (known: StorePosition) => Promise<PeerResponse[]>;

/** Changes from a relay, and the time since the store last responded to that relay, ms. */
export interface RelayedChanges extends RecordChanges {
  storeHeardMsAgo: number;
  /** The full list instead of changes, if the relay no longer keeps these changes. */
  list?: RecordList;
}

/**
 * Long-polls a relay for changes after `known`. Fails like a store call, and also
 * with `unavailable` if the peer is not watching the store.
 */
export type PeerWatch = (
  peer: InstanceEntry,
  known: StorePosition,
  waitMs: number,
) => ResultAsync<RelayedChanges, StoreFailure>;
