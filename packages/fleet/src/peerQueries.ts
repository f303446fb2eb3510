/** What an instance asks its peers in the store's place. */
import type { ResultAsync } from 'neverthrow';
import type { StoreMoment } from '@cardamomladder/types';
import type { FactChanges, FactList, InstanceEntry, StoreFailure } from './facts';

/** What a peer answers: the changes after the revision asked for, or all facts where it does not keep these; and for how long it has reached the store, unset while it does not. */
export interface PeerAnswer {
  storeReachedForMs?: number;
  changes?: FactChanges;
  list?: FactList;
}

/** Asks a peer that the settings name for all its facts; undefined when none has them and reaches the store. */
export type SnapshotQuestion = () => Promise<FactList | undefined>;

/** Asks some peers for facts newer than `known`; an empty list when none answers. */
export type PeerQuestion = (known: StoreMoment) => Promise<PeerAnswer[]>;

/** What a peer that watches the store passes on, and how long ago the store last answered it, ms. */
export interface FollowedFacts extends FactChanges {
  storeHeardMsAgo: number;
  /** All facts in place of changes, where the peer does not keep these. */
  list?: FactList;
}

/**
 * Waits at a peer that watches the store for changes after `known`. Fails
 * as the store would; `unavailable` also when the peer doesn't watch it.
 */
export type PeerWatch = (
  peer: InstanceEntry,
  known: StoreMoment,
  waitMs: number,
) => ResultAsync<FollowedFacts, StoreFailure>;
