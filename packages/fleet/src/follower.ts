/**
 * Keeps beliefs up to date: a list, then one watch after another, at the
 * store or through a peer that watches it for the region; while the store is
 * out of reach, peers that still reach it are asked instead.
 *
 * What goes wrong without each part:
 * - An open watch can go silent for good. A watch that does not answer within
 *   its wait plus a grace is dropped and asked anew on another connection, so
 *   silence costs less than the time allowed to stop using a leaving target.
 * - The store may turn away this instance alone. Its targets would leave
 *   unseen; peers pass on what they know.
 * - A peer that is followed can freeze, lose the store or stop. Its silence
 *   ends the question early enough to ask the store within the same time, and
 *   the store is watched directly for a while before a peer is tried again.
 * - Entries lapse while the store is away and are written again within about
 *   two seconds of its return. Taking those removals at once would empty the
 *   registry; they are held for that time.
 */
import { setTimeout as pause } from 'node:timers/promises';
import type { ResultAsync } from 'neverthrow';
import type { Subscription } from 'rxjs';
import { BehaviorSubject, timer } from 'rxjs';
import type { Beliefs } from './beliefs';
import { ChangeLog } from './changeLog';
import type {
  FactChange,
  FactChanges,
  FactList,
  InstanceEntry,
  Store,
  StoreFailure,
} from './facts';
import { relayOf } from './relay';

/** How long one watch waits, ms: with the grace, below the shortest time allowed to obey a leaving target. */
export const WATCH_WAIT_MS = 1000;
/** Pause after changes, ms, so that those that come close together cost one call: 40 targets that register within two seconds cost 40 calls without it. */
const GATHER_MS = 150;
/** Pause before the first and the longest repeat of a failed call, ms. */
const RETRY_FIRST_MS = 60;
const RETRY_MOST_MS = 500;
/** How often peers are asked while the store is out of reach, ms. */
const PEER_ASK_MS = 300;
/** How long removals are held after an outage that no peer was spared, ms. */
const LAPSE_HOLD_MS = 2200;
/** Outages shorter than this lapse nothing, ms: the shortest registration outlives them. */
const LAPSE_AFTER_MS = 900;

/** How long a question to a followed peer waits, ms: with its time to answer (300 ms) and one call to the store it stays below the shortest time allowed to obey a leaving target. */
const RELAY_WAIT_MS = 700;
/** How long the store is watched directly after a followed peer failed, ms: the entry of one that was killed is gone by then. */
const RELAY_PAUSE_MS = 3000;

/** What a peer answers: its facts when they are newer, and for how long it has reached the store; unset while it does not. */
export interface PeerAnswer {
  storeReachedForMs?: number;
  list?: FactList;
}

/** Asks some peers for facts newer than `revision`; an empty list when none answers. */
export type PeerQuestion = (revision: number) => Promise<PeerAnswer[]>;

/**
 * Waits at a peer that watches the store for changes after `revision`. Fails
 * as the store would; `unavailable` also when the peer doesn't watch it.
 */
export type PeerWatch = (
  peer: InstanceEntry,
  revision: number,
  waitMs: number,
) => ResultAsync<FactChanges, StoreFailure>;

/** Whether the store is reached, since when, and why not. */
export interface StoreStatus {
  reached: boolean;
  since: number;
  reason: string;
  /** The peer through which it is followed; undefined when it is watched directly. */
  through?: InstanceEntry;
}

/** What following needs. */
export interface FollowerOptions {
  store: Store;
  beliefs: Beliefs;
  self: InstanceEntry;
  askPeers: PeerQuestion;
  watchPeer: PeerWatch;
  /** Steady clock, ms. */
  now: () => number;
  random: () => number;
}

/** A running follower. */
export interface Follower {
  status: BehaviorSubject<StoreStatus>;
  /** What peers that follow through this instance are told. */
  changeLog: ChangeLog;
  stop: () => void;
}

/** Starts following; returns at once. */
export const follow = (options: FollowerOptions): Follower => {
  const { store, beliefs, self, askPeers, watchPeer, now, random } = options;
  const changeLog = new ChangeLog();
  const status = new BehaviorSubject<StoreStatus>({
    reached: false,
    since: now(),
    reason: 'not asked yet',
  });
  const held = new Map<string, FactChange>();
  let stopped = false;
  let listNext = true;
  let holdUntil = 0;
  let peerReachedStore = false;
  let relayAgainAt = 0;
  /** When a followed peer failed, until the store has answered since: it may have been the store's failure. */
  let suspectSince: number | undefined;
  let asking: Subscription | undefined;

  const takeChange = (change: FactChange): void => {
    const fact = beliefs.factOf(change.key);
    const lapsable = (fact?.kind === 'target' && !fact.target.leaving) || fact?.kind === 'instance';
    if ('removed' in change && lapsable && now() < holdUntil) {
      held.set(change.key, change);
      return;
    }
    held.delete(change.key);
    beliefs.take(change);
  };
  const takeList = (list: FactList): void => {
    if (list.revision < beliefs.revision) return;
    const gone = beliefs.missingFrom(list);
    list.records.forEach(takeChange);
    gone.forEach((key) => takeChange({ key, revision: list.revision, removed: true }));
    beliefs.advance(list.revision);
  };
  const releaseHeld = (): void => {
    held.forEach((change) => beliefs.take(change));
    held.clear();
  };

  const ask = async (): Promise<void> => {
    const answers = await askPeers(beliefs.revision);
    if (status.value.reached || stopped) return;
    // Only the last answers count, and only from peers that reached the store
    // all the while: one that has not noticed the outage yet, or regained the
    // store a moment ago, knows no more of the lapsed entries than this one.
    const away = now() - status.value.since;
    peerReachedStore = answers.some(({ storeReachedForMs = 0 }) => storeReachedForMs > away);
    answers.forEach(({ list }) => list && takeList(list));
  };
  const lost = (failure: StoreFailure): void => {
    if (!status.value.reached && asking) return;
    peerReachedStore = false;
    status.next({ reached: false, since: suspectSince ?? now(), reason: failure.message });
    asking = timer(0, PEER_ASK_MS).subscribe(() => {
      ask().catch(() => {
        // askPeers reports and logs its own failures; a rejected promise here
        // only means that this round brought nothing.
      });
    });
  };
  /** Notes which way the store is followed from now on. */
  const followThrough = (through: InstanceEntry | undefined): void => {
    if (!status.value.reached || status.value.through?.id === through?.id) return;
    const reason = through ? 'followed through a peer' : 'watched directly';
    status.next({ ...status.value, reason, through });
  };
  const regained = (): void => {
    suspectSince = undefined;
    if (status.value.reached) return;
    asking?.unsubscribe();
    asking = undefined;
    const away = now() - status.value.since;
    if (away > LAPSE_AFTER_MS && !peerReachedStore && beliefs.revision > 0) {
      holdUntil = now() + LAPSE_HOLD_MS;
      setTimeout(releaseHeld, LAPSE_HOLD_MS);
    }
    status.next({ reached: true, since: now(), reason: 'answered' });
  };

  const takeChanges = async (heard: FactChanges): Promise<void> => {
    // A peer's list may have brought a later state while the watch waited.
    heard.changes.filter((change) => change.revision > beliefs.revision).forEach(takeChange);
    beliefs.advance(heard.revision);
    if (heard.changes.length > 0) await pause(GATHER_MS);
  };
  const stepList = async (): Promise<StoreFailure | undefined> => {
    const listed = await store.list();
    if (listed.isErr()) return listed.error;
    regained();
    takeList(listed.value);
    changeLog.restart(listed.value.revision);
    listNext = false;
    return undefined;
  };
  const stepWatch = async (): Promise<StoreFailure | undefined> => {
    const after = beliefs.revision;
    // After a followed peer's failure the first call does not wait: if the
    // store is away, that is known a second sooner.
    const waitMs = suspectSince === undefined ? WATCH_WAIT_MS : 0;
    const watched = await store.watch(after, waitMs);
    if (watched.isErr()) return watched.error;
    regained();
    changeLog.add(after, watched.value);
    await takeChanges(watched.value);
    return undefined;
  };
  /** A peer that fails is not the store's failure: the next step watches the store. */
  const stepRelay = async (relay: InstanceEntry): Promise<undefined> => {
    const heard = await watchPeer(relay, beliefs.revision, RELAY_WAIT_MS);
    if (heard.isOk()) {
      await takeChanges(heard.value);
    } else {
      suspectSince = now();
      relayAgainAt = suspectSince + RELAY_PAUSE_MS;
    }
    return undefined;
  };
  const relay = (): InstanceEntry | undefined => {
    if (!status.value.reached || now() < relayAgainAt) return undefined;
    return relayOf(
      self,
      [...beliefs.instances.values()].map((instance) => ({
        instance,
        revision: beliefs.revisionOf(store.instanceKey(instance.id)),
      })),
    );
  };
  const step = (): Promise<StoreFailure | undefined> => {
    if (listNext) return stepList();
    const followed = relay();
    followThrough(followed);
    return followed ? stepRelay(followed) : stepWatch();
  };

  const run = async (): Promise<void> => {
    let retryMs = 0;
    while (!stopped) {
      const failure = await step();
      if (!failure) {
        retryMs = 0;
      } else {
        // After any failure the next call lists: a watch that was cut may
        // have missed changes whose history is dropped.
        listNext = true;
        if (failure.kind !== 'history-gone') lost(failure);
        await pause(retryMs * (0.5 + random()));
        retryMs = Math.min(RETRY_MOST_MS, Math.max(RETRY_FIRST_MS, retryMs * 2));
      }
    }
  };
  run().catch((error: Error) => {
    status.next({ reached: false, since: now(), reason: `follower stopped: ${error.message}` });
  });

  return {
    status,
    changeLog,
    stop: () => {
      stopped = true;
      asking?.unsubscribe();
    },
  };
};
