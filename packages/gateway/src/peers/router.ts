/**
 * Procedures that an instance offers to its peers: the records it holds, for
 * peers that cannot reach the store; the changes it watches, for peers that
 * follow the store through it; an exchange of crash reports that the store may
 * not have; an exchange of what instances say about themselves; and tokens of
 * the customers for which it is the lender. Requests
 * for records and changes carry the sender's own entry; receiving one directly
 * shows that the sender is alive, even if its entry in the store is gone.
 */
import { TRPCError, initTRPC } from '@trpc/server';
import { filter, first, firstValueFrom, merge, timer } from 'rxjs';
import { z } from 'zod';
import type {
  ClusterState,
  CrashReports,
  RecordChange,
  RecordChanges,
  Follower,
  InstanceEntry,
  ForwardedReports,
  ReportCursor,
  StoreStatus,
} from '@cardamomladder/fleet';
import { PackedChangesCache, PackedListCache, isWorthPacking } from '@cardamomladder/fleet';
import type { StoreEpoch, StorePosition } from '@cardamomladder/types';
import { comparePositions, positionOf, storeEpoch } from '@cardamomladder/types';
import type { TokenResponse, TokenRequest } from '../quota/tokenSchemas';
import { tokenRequest } from '../quota/tokenSchemas';
import type { TargetsPace } from '../scope';
import type { Bulletin, ExchangeMessage } from './exchange';
import { reportsRequest } from './reportFormat';

const t = initTRPC.create();

/** Upper limit of the wait time that a request may ask for, ms. */
const MAX_WAIT_MS = 2000;

/** Dependencies of the router. */
export interface PeerRouterOptions {
  clusterState: ClusterState;
  follower: Follower;
  crashReports: Pick<CrashReports, 'mark' | 'after' | 'receive'>;
  recordPeer: (asker: InstanceEntry) => void;
  bulletin: Bulletin;
  pace: Pick<TargetsPace, 'stated' | 'hear'>;
  /** Lends tokens of the customers for which this instance is the lender. */
  lend: (request: TokenRequest) => TokenResponse;
  /** Monotonic clock, ms. */
  now: () => number;
}

/** Changes, compressed, and the position up to which they go. */
interface PackedChanges extends StorePosition {
  packed: string;
}

/** The records newer than the requested revision: the changes if they are still retained, otherwise all records. */
export interface FactsResponse {
  /** How long the store has been reachable, ms; unset while it is not. */
  storeReachedForMs?: number;
  /** The position up to which this instance has followed the store; older versions omit it. */
  position?: StorePosition;
  changes?: RecordChanges;
  /** The same for senders that can decompress changes. */
  packedChanges?: PackedChanges;
  /** All records, compressed. */
  packed?: string;
  /** Cursor up to which this instance has crash reports that the store may not have; older versions omit it. */
  reports?: ReportCursor;
  /** True once targets state their pace: instances that send them nothing cannot know. */
  statesPace?: boolean;
}

/** Changes for a following peer, compressed or not, and the time since the last response of the store, ms. */
interface IncrementalChanges {
  kind: 'changes';
  /** Older versions omit it. */
  epoch?: StoreEpoch;
  revision: number;
  storeHeardMsAgo: number;
  changes?: RecordChange[];
  packed?: string;
}

/** All records for a following peer, compressed, and the time since the last response of the store, ms. */
interface FullList {
  kind: 'list';
  list: string;
  storeHeardMsAgo: number;
}

/** Response to a following peer: the changes, all records if the changes are no longer retained, or the reason why it must query another instance. */
export type ChangesResponse =
  | ((IncrementalChanges | FullList) & Pick<FactsResponse, 'statesPace'>)
  | { kind: 'not-watching' }
  | { kind: 'history-gone' };

const factsRequest = z.object({
  /** Store epoch that the sender follows; older versions omit it. */
  epoch: z.number().default(0).transform(storeEpoch),
  /** Store revision up to which the sender has all records. */
  revision: z.number(),
  /** The sender's entry while it accepts callers, otherwise null. */
  asker: z.custom<InstanceEntry>().nullable(),
  /** True once targets state their pace, as far as the sender knows. */
  statesPace: z.boolean().default(false),
  /** True if the sender can decompress changes. */
  unpacks: z.boolean().default(false),
});
const changesRequest = factsRequest.extend({
  waitMs: z.number().max(MAX_WAIT_MS),
  /** True if the sender accepts a full list in place of changes. */
  takesLists: z.boolean().default(false),
});

/** True if the instance reads from the store itself. Only such records are passed on: two instances that followed each other would never receive a change. */
const watchesStore = ({ reached, through }: StoreStatus): boolean =>
  reached && through === undefined;

/** Compressed responses shared by all peers that follow this instance or request its records. */
interface PackedCache {
  facts: PackedListCache;
  changes: PackedChangesCache;
}

const changesSince = async (
  { clusterState, follower }: PeerRouterOptions,
  packed: PackedCache,
  known: z.output<typeof changesRequest>,
): Promise<ChangesResponse> => {
  const { changeLog, status, storeHeardMsAgo } = follower;
  // An instance that has not yet noticed that the store was restored from an older copy counts as not watching.
  if (!watchesStore(status.value) || changeLog.epoch < known.epoch) return { kind: 'not-watching' };
  const changes = changeLog.since(known);
  if (!changes && !known.takesLists) return { kind: 'history-gone' };
  if (!changes) {
    const list = await packed.facts.at(clusterState.position);
    return { kind: 'list', list, storeHeardMsAgo: storeHeardMsAgo() };
  }
  const { epoch, revision } = changeLog;
  const content =
    known.unpacks && isWorthPacking(changes)
      ? { packed: await packed.changes.between(known, revision, changes) }
      : { changes };
  return { kind: 'changes', ...content, epoch, revision, storeHeardMsAgo: storeHeardMsAgo() };
};

/** Resolves at the first change after `known`, when this instance stops watching the store, or after `waitMs`. */
const waitForNewer = async (
  { changeLog, status }: Follower,
  known: StorePosition,
  waitMs: number,
): Promise<void> => {
  if (changeLog.isAfter(known)) return;
  await firstValueFrom(
    merge(
      changeLog.advanced.pipe(filter(() => changeLog.isAfter(known))),
      status.pipe(filter((current) => !watchesStore(current))),
      timer(waitMs),
    ).pipe(first()),
  );
};

/** Returns the records newer than `known`: only the changes if they are retained, which are often one or two records instead of hundreds. */
const factsSince = async (
  { clusterState, follower }: PeerRouterOptions,
  packed: PackedCache,
  known: z.output<typeof factsRequest>,
): Promise<Pick<FactsResponse, 'changes' | 'packedChanges' | 'packed'>> => {
  if (comparePositions(clusterState, known) <= 0) return {};
  const { changeLog } = follower;
  const changes = known.revision > 0 ? changeLog.since(known) : undefined;
  if (!changes) return { packed: await packed.facts.at(clusterState.position) };
  const position = positionOf(changeLog);
  if (!known.unpacks || !isWorthPacking(changes)) return { changes: { changes, ...position } };
  const text = await packed.changes.between(position, position.revision, changes);
  return { packedChanges: { packed: text, ...position } };
};

/** Creates the router of one instance. */
export const peerRouter = (options: PeerRouterOptions) => {
  const { follower, crashReports, recordPeer, bulletin, pace, lend, now } = options;
  const receive = ({ asker, statesPace }: z.output<typeof factsRequest>): void => {
    if (asker) recordPeer(asker);
    if (statesPace) pace.hear();
  };
  const paceStated = () => (pace.stated ? { statesPace: true } : {});
  const packed: PackedCache = {
    facts: new PackedListCache(() => follower.list()),
    changes: new PackedChangesCache(),
  };
  return t.router({
    facts: t.procedure.input(factsRequest).query(async ({ input }): Promise<FactsResponse> => {
      receive(input);
      const { reached, since } = follower.status.value;
      return {
        ...(reached ? { storeReachedForMs: now() - since } : {}),
        position: options.clusterState.position,
        ...(await factsSince(options, packed, input)),
        reports: crashReports.mark,
        ...paceStated(),
      };
    }),
    changes: t.procedure
      .input(changesRequest)
      .query(async ({ input }): Promise<ChangesResponse> => {
        receive(input);
        await waitForNewer(follower, input, input.waitMs);
        return { ...(await changesSince(options, packed, input)), ...paceStated() };
      }),
    reports: t.procedure.input(reportsRequest).mutation(({ input }): ForwardedReports => {
      const answer = crashReports.after(input.after);
      crashReports.receive(input.reports, follower.status.value.reached);
      return answer;
    }),
    exchange: t.procedure.input(z.unknown()).mutation(({ input }): ExchangeMessage => {
      const received = bulletin.receive(input);
      if (received.isErr())
        throw new TRPCError({ code: 'BAD_REQUEST', message: received.error.message });
      return bulletin.message();
    }),
    tokens: t.procedure.input(tokenRequest).mutation(({ input }): TokenResponse => lend(input)),
  });
};

/** Router type, used by clients. */
export type PeerRouter = ReturnType<typeof peerRouter>;
