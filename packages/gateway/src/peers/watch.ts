/** Follows the store through a peer that watches it. */
import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import type { InstanceEntry, PeerWatch, StoreFailure } from '@cardamomladder/fleet';
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

/** Builds the question that waits at a followed peer; each failure is logged. */
export const watchPeer =
  ({ vouchFor, log }: WatchOptions): PeerWatch =>
  (peer, revision, waitMs) =>
    ResultAsync.fromPromise(
      peerClient(peer.peerAddress, waitMs + ANSWER_WITHIN_MS).changes.query({
        revision,
        asker: vouchFor(),
        waitMs,
      }),
      (error) => failed(peer, (error as Error).message),
    )
      .andThen((answer: FollowedChanges) => {
        if (answer.kind === 'changes') return okAsync(answer);
        if (answer.kind === 'history-gone')
          return errAsync<never, StoreFailure>({ ...failed(peer, answer.kind), kind: answer.kind });
        return errAsync(failed(peer, 'does not watch the store'));
      })
      .mapErr((failure) => {
        log.write('store', undefined, {
          event: 'followed peer failed',
          peer: peer.id,
          reason: failure.message,
        });
        return failure;
      });
