/** Follows the store through a peer that watches it. */
import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import type { FollowedFacts, InstanceEntry, PeerWatch, StoreFailure } from '@cardamomladder/fleet';
import { unpackChanges, unpackFacts } from '@cardamomladder/fleet';
import { momentOf, storeEpoch } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import { peerClient } from './client';
import type { FollowedChanges } from './router';

/** How long a peer may take to answer beyond its wait, ms: over two ways between any regions; it counts against the time allowed to obey a leaving target. */
const ANSWER_WITHIN_MS = 300;

/** What following needs of the instance. */
export interface WatchOptions {
  /** This instance's entry while it takes callers. */
  vouchFor: () => InstanceEntry | null;
  log: DecisionLog;
}

const failed = (peer: InstanceEntry, reason: string): StoreFailure => ({
  kind: 'unavailable',
  message: `peer ${peer.id}: ${reason}`,
});

/** What a followed peer's answer holds, or why it holds nothing. */
export const followedFacts = (
  peer: InstanceEntry,
  answer: FollowedChanges,
): ResultAsync<FollowedFacts, StoreFailure> => {
  if (answer.kind === 'history-gone')
    return errAsync({ ...failed(peer, answer.kind), kind: answer.kind });
  if (answer.kind === 'not-watching') return errAsync(failed(peer, 'does not watch the store'));
  const { storeHeardMsAgo } = answer;
  if (answer.kind === 'list')
    return unpackFacts(answer.list)
      .map((list) => ({ ...momentOf(list), changes: [], list, storeHeardMsAgo }))
      .mapErr(({ message }) => failed(peer, message));
  const { epoch = storeEpoch(0), revision, changes = [], packed } = answer;
  const all = packed === undefined ? okAsync(changes) : unpackChanges(packed);
  return all
    .map((each) => ({ changes: each, epoch, revision, storeHeardMsAgo }))
    .mapErr(({ message }) => failed(peer, message));
};

/** Builds the question that waits at a followed peer; each failure is logged. */
export const watchPeer =
  ({ vouchFor, log }: WatchOptions): PeerWatch =>
  (peer, known, waitMs) =>
    ResultAsync.fromPromise(
      peerClient(peer.peerAddress, waitMs + ANSWER_WITHIN_MS).changes.query({
        ...known,
        asker: vouchFor(),
        waitMs,
        unpacks: true,
        takesLists: true,
      }),
      (error) => failed(peer, (error as Error).message),
    )
      .andThen((answer: FollowedChanges) => followedFacts(peer, answer))
      .mapErr((failure) => {
        log.write('store', undefined, {
          event: 'followed peer failed',
          peer: peer.id,
          reason: failure.message,
        });
        return failure;
      });
