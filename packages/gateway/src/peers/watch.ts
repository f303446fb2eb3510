/** Follows the store through a peer that watches it. */
import { ResultAsync, errAsync, okAsync } from 'neverthrow';
import type { RelayedChanges, InstanceEntry, PeerWatch, StoreFailure } from '@cardamomladder/fleet';
import {
  areReadableChanges,
  isReadablePosition,
  unpackChanges,
  unpackList,
} from '@cardamomladder/fleet';
import { whileProgressing } from '@cardamomladder/http-json';
import { positionOf, storeEpoch } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { TargetsPace } from '../scope';
import { peerClient } from './client';
import type { ChangesResponse } from './router';
import { logSlowTransfer } from './slowTransfers';

/** Time a peer may take to respond beyond its wait time, or without sending any part of its response, ms: more than two trips between any two regions; it counts against the time allowed to react to a leaving target. */
const RESPONSE_MARGIN_MS = 300;

/** Dependencies of `watchPeer`. */
export interface WatchPeerOptions {
  /** This instance's entry while it accepts callers. */
  ownServingEntry: () => InstanceEntry | null;
  pace: Pick<TargetsPace, 'stated' | 'hear'>;
  log: DecisionLog;
}

const UNREADABLE = 'its answer has an unexpected format; upgrade that peer';

const peerFailure = (peer: InstanceEntry, reason: string): StoreFailure => ({
  kind: 'unavailable',
  message: `peer ${peer.id}: ${reason}`,
});

/** Extracts the records from a followed peer's response, or the reason why there are none. */
export const changesFromResponse = (
  peer: InstanceEntry,
  answer: ChangesResponse,
): ResultAsync<RelayedChanges, StoreFailure> => {
  if (answer.kind === 'history-gone')
    return errAsync({ ...peerFailure(peer, answer.kind), kind: answer.kind });
  if (answer.kind === 'not-watching')
    return errAsync(peerFailure(peer, 'does not watch the store'));
  const { storeHeardMsAgo } = answer;
  if (answer.kind === 'list')
    return unpackList(answer.list)
      .map((list) => ({ ...positionOf(list), changes: [], list, storeHeardMsAgo }))
      .mapErr(({ message }) => peerFailure(peer, message));
  const { epoch = storeEpoch(0), revision, changes = [], packed } = answer;
  const isReadable = isReadablePosition({ epoch, revision }) && areReadableChanges(changes);
  if (!isReadable) return errAsync(peerFailure(peer, UNREADABLE));
  const all = packed === undefined ? okAsync(changes) : unpackChanges(packed);
  return all
    .map((unpacked) => ({ changes: unpacked, epoch, revision, storeHeardMsAgo }))
    .mapErr(({ message }) => peerFailure(peer, message));
};

/** Creates the long-poll request to a followed peer; each failure is logged. */
export const watchPeer =
  ({ ownServingEntry, pace, log }: WatchPeerOptions): PeerWatch =>
  (peer, known, waitMs) =>
    ResultAsync.fromPromise(
      peerClient(
        peer.peerAddress,
        whileProgressing(RESPONSE_MARGIN_MS, waitMs),
        logSlowTransfer(log, peer.peerAddress),
      ).changes.query({
        ...known,
        asker: ownServingEntry(),
        statesPace: pace.stated,
        waitMs,
        unpacks: true,
        takesLists: true,
      }),
      (error) => peerFailure(peer, (error as Error).message),
    )
      .andThen((answer: ChangesResponse | null | undefined) => {
        if (typeof answer !== 'object' || answer === null)
          return errAsync(peerFailure(peer, UNREADABLE));
        if ('statesPace' in answer && answer.statesPace) pace.hear();
        return changesFromResponse(peer, answer);
      })
      .mapErr((failure) => {
        log.write('store', undefined, {
          event: 'followed peer failed',
          peer: peer.id,
          reason: failure.message,
        });
        return failure;
      });
