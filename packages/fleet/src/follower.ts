/**
 * Keeps the cluster state up to date. It starts from a peer's snapshot or a list
 * from the store and continues with long-poll watches, either of the store or
 * through a relay in the region. While the store is unreachable, peers that can
 * still reach it are queried instead.
 *
 * Failure scenarios and how they are handled:
 * - When a whole fleet starts, it would list hundreds of entries from the store
 *   hundreds of times within a second. A peer named in the settings provides its
 *   own list instead, and later changes follow by revision.
 * - A watch can hang indefinitely. A watch that does not respond within its wait
 *   time plus a grace period is dropped and repeated on another connection, so a
 *   hang takes less than the time allowed to stop using a leaving target.
 * - The store may reject only this instance, which would then miss targets that
 *   leave. Peers forward what they know.
 * - A relay can freeze, lose the store or stop. The request to it times out early
 *   enough to try the next relay and the store within the same time limit, and
 *   the relay is then avoided for a while.
 * - Entries expire while the store is unavailable; their removals are deferred.
 * - The store may be restored from an older copy and assign revisions again: a
 *   watch from an earlier revision would miss writes since then. Any response
 *   from a later epoch triggers a list.
 */
import type { BehaviorSubject } from 'rxjs';
import { Subject, firstValueFrom, race, timer } from 'rxjs';
import type { StorePosition } from '@cardamomladder/types';
import { positionOf, sleep } from '@cardamomladder/types';
import type { ClusterState } from './clusterState';
import { ChangeLog } from './changeLog';
import type { RecordChanges, RecordList, InstanceEntry, Store, StoreFailure } from './records';
import { StateUpdater } from './stateUpdater';
import type { PeerQuery, PeerWatch, SnapshotQuery } from './peerQueries';
import { relaysFor } from './relay';
import type { StoreStatus } from './storeConnectivity';
import { StoreConnectivity } from './storeConnectivity';

/** Wait time of one watch, ms: together with the grace period below the shortest time allowed to stop using a leaving target. */
export const WATCH_WAIT_MS = 1000;
/** Delay after changes, ms, so that changes in quick succession are fetched in one call: without it, 40 targets that register within two seconds cost 40 calls. */
const BATCH_DELAY_MS = 150;
/** The same after changes from a relay, ms: a starting fleet makes hundreds of changes per second, and a relay serves dozens of followers. Together with the relay's own delay this is a quarter of the shortest time allowed to stop using a leaving target. */
const RELAY_BATCH_DELAY_MS = 300;
/** Minimum and maximum delay between retries of a failed call, ms, before jitter; the first retry is immediate. A fleet of 200 that the store rejects makes at most 200 calls per second. */
const RETRY_MIN_DELAY_MS = 60;
const RETRY_MAX_DELAY_MS = 1000;
/** Maximum retry delay while a peer reaches the store and forwards its records, ms: only the direct connection to the store is missing. */
const RETRY_MAX_DELAY_WITH_PEER_MS = 2000;
/** How long a new instance waits for a peer's snapshot before it also lists from the store, ms: a round trip to any region plus the time to pack. After a power loss of the whole fleet the peer may be down; waiting for it alone delayed serving on the high-capacity instances by 0.8 s. */
const SNAPSHOT_HEAD_START_MS = 100;
/** Wait time of a request to a relay, ms: together with its response time (300 ms) and one store call it stays below the shortest time allowed to stop using a leaving target. */
const RELAY_WAIT_MS = 700;
/** How long a failed relay is avoided, ms: by then the entry of a killed instance has expired. */
const RELAY_BACKOFF_MS = 3000;

/** Follower events for the log: a full list, applied or not, or a history that is no longer available; with the position followed so far. */
export type FollowerEvent =
  | ({ event: 'listed'; followed: StorePosition; taken: boolean } & StorePosition)
  | { event: 'history gone'; followed: StorePosition };

/** Options of `follow`. */
export interface FollowerOptions {
  store: Store;
  clusterState: ClusterState;
  self: InstanceEntry;
  queryPeers: PeerQuery;
  requestSnapshot: SnapshotQuery;
  watchPeer: PeerWatch;
  /** Monotonic clock, ms. */
  now: () => number;
  random: () => number;
  report: (event: FollowerEvent) => void;
}

/** A running follower. */
export interface Follower {
  status: BehaviorSubject<StoreStatus>;
  /** Changes served to peers that follow the store through this instance. */
  changeLog: ChangeLog;
  /** Returns the time since the store last responded to this instance directly, ms. */
  storeHeardMsAgo: () => number;
  /** Lists all records, for a peer. */
  list: () => RecordList;
  stop: () => void;
}

/** Starts following the store; returns immediately. */
export const follow = (options: FollowerOptions): Follower => {
  const { store, clusterState, self, queryPeers, requestSnapshot, watchPeer, now, random, report } =
    options;
  const changeLog = new ChangeLog(() => clusterState.size);
  const updater = new StateUpdater(clusterState, now, isStoreFollowed);
  let stopped = false;
  let listNext = true;
  /** For each failed relay, the time until which it is avoided. */
  const avoidedUntil = new Map<string, number>();
  /** True until this instance's own entry has been seen for the first time. */
  let joining = true;

  const relays = (): InstanceEntry[] => {
    joining &&= !clusterState.instances.has(self.id);
    const registered = [...clusterState.instances.values()].map((instance) => ({
      instance,
      // An instance whose entry the store lacks registers again and is then the most recent.
      revision: clusterState.revisionOf(store.instanceKey(instance.id)) || Infinity,
    }));
    return relaysFor(self, registered, joining).filter(
      ({ id }) => now() >= (avoidedUntil.get(id) ?? 0),
    );
  };
  const applyList = (list: RecordList): void => {
    const followed = clusterState.position;
    const taken = updater.applyList(list);
    report({ event: 'listed', ...positionOf(list), followed, taken });
    if (taken) changeLog.reset(list);
  };
  /** Applies changes after the requested revision; changes from a later epoch require a list. */
  const applyChanges = (after: number, received: RecordChanges): void => {
    // Apply before logging: the capacity of the change log depends on the number of known records.
    if (updater.applyChanges(received)) changeLog.add(after, received);
    else if (received.epoch > clusterState.epoch) listNext = true;
  };

  const connectivity = new StoreConnectivity({
    now,
    queryPeers: updateFromPeers,
    onPossibleLapse: () => {
      if (clusterState.revision > 0) updater.deferRemovals();
    },
  });
  function isStoreFollowed(): boolean {
    return connectivity.isStoreFollowed;
  }
  async function updateFromPeers(): Promise<void> {
    const isNeeded = () => !connectivity.status.value.reached && !stopped;
    const reachedForMs = await queryPeers(
      () => clusterState.position,
      ({ list, changes }, after) => {
        if (list && isNeeded()) applyList(list);
        if (changes && isNeeded()) applyChanges(after.revision, changes);
      },
    );
    if (isNeeded()) connectivity.updatePeerReach(reachedForMs);
  }

  const startFromList = (list: RecordList): undefined => {
    applyList(list);
    listNext = false;
  };
  const startFromPeer = (list: RecordList): undefined => {
    connectivity.markReachable();
    startFromList(list);
  };
  /** Requests the list from a relay in this region, which causes no additional store call; returns whether it was received. */
  const startFromRelay = async (): Promise<boolean> => {
    const [relay] = clusterState.revision > 0 ? relays() : [];
    if (!relay) return false;
    const received = await watchPeer(relay, clusterState.position, RELAY_WAIT_MS);
    if (received.isErr() || !received.value.list) return false;
    startFromList(received.value.list);
    return true;
  };
  const stepList = async (): Promise<StoreFailure | undefined> => {
    if (await startFromRelay()) return undefined;
    const asked = clusterState.revision === 0 ? requestSnapshot() : Promise.resolve(undefined);
    const early = await Promise.race([asked, sleep(SNAPSHOT_HEAD_START_MS)]);
    if (early) return startFromPeer(early);
    const listed = await store.list();
    if (listed.isErr()) {
      const late = await asked;
      return late ? startFromPeer(late) : listed.error;
    }
    connectivity.answered();
    return startFromList(listed.value);
  };
  const stepWatch = async (): Promise<StoreFailure | undefined> => {
    const after = clusterState.revision;
    // While the store may be unavailable, the call does not wait, so that it is
    // known a second earlier whether the store responds.
    const watched = await store.watch(after, connectivity.isHealthy ? WATCH_WAIT_MS : 0);
    if (watched.isErr()) return watched.error;
    connectivity.answered();
    connectivity.setRelay(undefined);
    applyChanges(after, watched.value);
    if (watched.value.changes.length > 0) await sleep(BATCH_DELAY_MS);
    return undefined;
  };
  /** A failed relay is not treated as a store failure: the next step tries another relay or the store. */
  const stepRelay = async (relay: InstanceEntry): Promise<undefined> => {
    const known = clusterState.position;
    const askedAt = now();
    const received = await watchPeer(relay, known, connectivity.isSuspected ? 0 : RELAY_WAIT_MS);
    if (received.isErr()) connectivity.suspect();
    if (received.isErr() || received.value.epoch < clusterState.epoch) {
      avoidedUntil.set(relay.id, now() + RELAY_BACKOFF_MS);
      return undefined;
    }
    // A second relay may not have detected the outage that the first one
    // reported; the outage lasts from the first report until the store responds.
    // The latency of the response is unknown, so its `storeHeardMsAgo` is
    // measured back from the time of the request: only a store response that is
    // then still later than the suspected failure confirms that the store is up.
    const confirmed = connectivity.respondedSinceSuspicion(askedAt, received.value.storeHeardMsAgo);
    if (confirmed) connectivity.markReachable();
    connectivity.setRelay(relay);
    const { list, changes } = received.value;
    if (list) applyList(list);
    else applyChanges(known.revision, received.value);
    if (list || changes.length > 0 || !confirmed) await sleep(RELAY_BATCH_DELAY_MS);
    return undefined;
  };
  const nextStep = (): Promise<StoreFailure | undefined> => {
    if (listNext) return stepList();
    const [relay] = relays();
    connectivity.setRelay(relay);
    return relay ? stepRelay(relay) : stepWatch();
  };

  /** Records that cannot be applied must not end the loop: the next step lists again. */
  const step = async (): Promise<StoreFailure | undefined> => {
    try {
      return await nextStep();
    } catch (error) {
      listNext = true;
      return { kind: 'unavailable', message: `unusable records: ${(error as Error).message}` };
    }
  };

  /** Emits when the store has been restored from an older copy, to end a retry delay early. */
  const wakeUps = new Subject<void>();
  const epochSubscription = store.epochs.subscribe((epoch) => {
    // If this instance follows a relay, the relay lists for all its followers.
    if (epoch <= clusterState.epoch || relays().length > 0) return;
    listNext = true;
    wakeUps.next();
  });
  const backOff = (ms: number): Promise<unknown> => firstValueFrom(race(wakeUps, timer(ms)));

  /** Number of consecutive watches that failed because the history was no longer available. */
  let historyLosses = 0;
  const handleFailure = (failure: StoreFailure): void => {
    // An interrupted watch is repeated from the same revision, so no change is
    // missed; the store reports if the history since then is no longer available.
    if (failure.kind !== 'history-gone') {
      connectivity.lost(failure);
      return;
    }
    connectivity.answered();
    report({ event: 'history gone', followed: clusterState.position });
    listNext = true;
    historyLosses += 1;
  };
  const run = async (): Promise<void> => {
    let retryMs = 0;
    while (!stopped) {
      const isWatch = !listNext;
      const failure = await step();
      if (!failure) {
        // Only a watch resets the counters: after a list, the next watch may fail the same way again.
        if (isWatch) {
          retryMs = 0;
          historyLosses = 0;
        }
      } else {
        handleFailure(failure);
        if (failure.kind === 'history-gone' && historyLosses === 1) continue;
        await backOff(retryMs * (0.5 + random()));
        const maxDelayMs = connectivity.peerStayedConnected
          ? RETRY_MAX_DELAY_WITH_PEER_MS
          : RETRY_MAX_DELAY_MS;
        retryMs = Math.min(maxDelayMs, Math.max(RETRY_MIN_DELAY_MS, retryMs * 2));
      }
    }
  };
  run().catch((error: Error) => {
    connectivity.status.next({
      reached: false,
      since: now(),
      reason: `follower stopped: ${error.message}`,
    });
  });

  return {
    status: connectivity.status,
    changeLog,
    storeHeardMsAgo: () => connectivity.lastResponseAgeMs,
    list: () => updater.list(),
    stop: () => {
      stopped = true;
      epochSubscription.unsubscribe();
      connectivity.stopQueryingPeers();
    },
  };
};
