/** Queries that an instance sends to its peers instead of the store. */
import type { ResultAsync } from 'neverthrow';
import type { StorePosition } from '@cardamomladder/types';
import type { RecordChanges, RecordList, InstanceEntry, StoreFailure } from './records';

/** Records from a peer: the changes after the requested revision, or the full list if the peer no longer keeps these changes. */
export interface PeerRecords {
  changes?: RecordChanges;
  list?: RecordList;
}

/** A peer's response. */
export interface PeerResponse extends PeerRecords {
  /** How long the peer has been connected to the store, ms; unset while it is not. */
  storeReachedForMs?: number;
  /** The position up to which the peer has followed the store; older versions omit it. */
  position?: StorePosition;
}

/** Requests the full list from a peer named in the settings; undefined if no such peer has the list and reaches the store. */
export type SnapshotQuery = () => Promise<RecordList | undefined>;

/**
 * Queries several peers; resolves with how long those that responded have been
 * connected to the store, ms, 0 for those that are not. Records newer than `known` are
 * passed to `receive`, with the position that was known when they were requested. As
 * their transfer may take long, this can be after later rounds.
 */
export type PeerQuery = (
  known: () => StorePosition,
  receive: (records: PeerRecords, after: StorePosition) => void,
) => Promise<number[]>;

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
