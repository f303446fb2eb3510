/**
 * Keeps beliefs up to date: a peer's snapshot or a list to begin with, then
 * one watch after another, at the store or through a peer that watches it for
 * the region; while the store is out of reach, peers that still reach it are
 * asked instead.
 *
 * What goes wrong without each part:
 * - A fleet that starts as a whole would list hundreds of entries at the store
 *   hundreds of times within a second. A peer that the settings name hands
 *   its own list over, and the changes since then follow by revision.
 * - An open watch can go silent for good. A watch that does not answer within
 *   its wait plus a grace is dropped and asked anew on another connection, so
 *   silence costs less than the time allowed to stop using a leaving target.
 * - The store may turn away this instance alone. Its targets would leave
 *   unseen; peers pass on what they know.
 * - A peer that is followed can freeze, lose the store or stop. Its silence
 *   ends the question early enough to ask the next relay and the store within
 *   the same time, and it is left alone for a while.
 * - Entries lapse while the store is away; their removals are held.
 * - The store may come back from an older copy and give revisions out again: a
 *   watch from a revision of before would miss what was written since. Any
 *   answer of a later epoch leads to a list.
 */
import type { BehaviorSubject } from 'rxjs';
import { Subject, firstValueFrom, race, timer } from 'rxjs';
import type { StoreMoment } from '@cardamomladder/types';
import { momentOf, pause } from '@cardamomladder/types';
import type { Beliefs } from './beliefs';
import { ChangeLog } from './changeLog';
import type { FactChanges, FactList, InstanceEntry, Store, StoreFailure } from './facts';
import { IncomingFacts } from './incomingFacts';
import type { PeerQuestion, PeerWatch, SnapshotQuestion } from './peerQuestions';
import { relaysOf } from './relay';
import type { StoreStatus } from './storeReach';
import { StoreReach } from './storeReach';

/** How long one watch waits, ms: with the grace, below the shortest time allowed to obey a leaving target. */
export const WATCH_WAIT_MS = 1000;
/** Pause after changes, ms, so that those that come close together cost one call: 40 targets that register within two seconds cost 40 calls without it. */
const GATHER_MS = 150;
/** The same after changes that a followed peer passed on, ms: a starting fleet has hundreds of changes a second, and a relay answers dozens of followers. With the peer's own pause it takes a quarter of the shortest time allowed to obey a leaving target. */
const GATHER_FOLLOWED_MS = 300;
/** Pause before the first and the longest repeat of a failed call, ms: a fleet of 200 that the store turns away asks it 200 times a second at most. */
const RETRY_FIRST_MS = 60;
const RETRY_MOST_MS = 1000;
/** The longest while a peer reaches the store and passes its facts on, ms: only the way to the store is missing. */
const RETRY_SERVED_MS = 2000;
/** How long a fresh instance waits for a peer's snapshot before it lists at the store as well, ms: twice the way to any region and the time to pack. After a power loss of the whole fleet the peer may be dark; waiting for it alone kept the strong instances from serving for 0.8 s. */
const SNAPSHOT_ALONE_MS = 100;
/** How long a question to a followed peer waits, ms: with its time to answer (300 ms) and one call to the store it stays below the shortest time allowed to obey a leaving target. */
const RELAY_WAIT_MS = 700;
/** How long a followed peer that failed is left alone, ms: the entry of one that was killed is gone by then. */
const RELAY_PAUSE_MS = 3000;

/** What a follower reports for the log: a list of all facts, taken or not, or a history that is gone; with the revision followed so far. */
export type FollowerEvent =
  | ({ event: 'listed'; followed: StoreMoment; taken: boolean } & StoreMoment)
  | { event: 'history gone'; followed: StoreMoment };

/** What following needs. */
export interface FollowerOptions {
  store: Store;
  beliefs: Beliefs;
  self: InstanceEntry;
  askPeers: PeerQuestion;
  askSnapshot: SnapshotQuestion;
  watchPeer: PeerWatch;
  /** Steady clock, ms. */
  now: () => number;
  random: () => number;
  report: (event: FollowerEvent) => void;
}

/** A running follower. */
export interface Follower {
  status: BehaviorSubject<StoreStatus>;
  /** What peers that follow through this instance are told. */
  changeLog: ChangeLog;
  /** How long ago the store itself last answered this instance, ms. */
  storeHeardMsAgo: () => number;
  /** All facts, to pass on to a peer. */
  list: () => FactList;
  stop: () => void;
}

/** Starts following; returns at once. */
export const follow = (options: FollowerOptions): Follower => {
  const { store, beliefs, self, askPeers, askSnapshot, watchPeer, now, random, report } = options;
  const changeLog = new ChangeLog(() => beliefs.size);
  const incoming = new IncomingFacts(beliefs, now, storeHeard);
  let stopped = false;
  let listNext = true;
  /** Until when each followed peer that failed is left alone. */
  const avoidedUntil = new Map<string, number>();
  /** True until this instance's own entry was seen for the first time. */
  let joining = true;

  const relays = (): InstanceEntry[] => {
    joining &&= !beliefs.instances.has(self.id);
    const registered = [...beliefs.instances.values()].map((instance) => ({
      instance,
      // One that the store lacks registers again, as the last.
      revision: beliefs.revisionOf(store.instanceKey(instance.id)) || Infinity,
    }));
    return relaysOf(self, registered, joining).filter(
      ({ id }) => now() >= (avoidedUntil.get(id) ?? 0),
    );
  };
  const takeList = (list: FactList): void => {
    const followed = beliefs.moment;
    const taken = incoming.takeList(list);
    report({ event: 'listed', ...momentOf(list), followed, taken });
    if (taken) changeLog.restart(list);
  };
  /** Takes changes after the revision asked for; a later epoch of the store makes a list necessary. */
  const takeChanges = (after: number, heard: FactChanges): void => {
    // First in force, then passed on: the log keeps as many changes as facts are known.
    if (incoming.takeChanges(heard)) changeLog.add(after, heard);
    else if (heard.epoch > beliefs.epoch) listNext = true;
  };

  const reach = new StoreReach({
    now,
    askPeers: ask,
    mayHaveLapsed: () => {
      if (beliefs.revision > 0) incoming.hold();
    },
  });
  function storeHeard(): boolean {
    return reach.storeHeard;
  }
  async function ask(): Promise<void> {
    const known = beliefs.moment;
    const answers = await askPeers(known);
    if (reach.status.value.reached || stopped) return;
    reach.peersAnswered(answers.map(({ storeReachedForMs = 0 }) => storeReachedForMs));
    answers.forEach(({ list, changes }) => {
      if (list) takeList(list);
      if (changes) takeChanges(known.revision, changes);
    });
  }

  const begin = (list: FactList): undefined => {
    takeList(list);
    listNext = false;
  };
  const beginFromPeer = (list: FactList): undefined => {
    reach.regained();
    begin(list);
  };
  /** True when a relay of this region has handed its list over; its own list costs the store nothing more. */
  const beginFromRelay = async (): Promise<boolean> => {
    const [relay] = beliefs.revision > 0 ? relays() : [];
    if (!relay) return false;
    const heard = await watchPeer(relay, beliefs.moment, RELAY_WAIT_MS);
    if (heard.isErr() || !heard.value.list) return false;
    begin(heard.value.list);
    return true;
  };
  const stepList = async (): Promise<StoreFailure | undefined> => {
    if (await beginFromRelay()) return undefined;
    const asked = beliefs.revision === 0 ? askSnapshot() : Promise.resolve(undefined);
    const early = await Promise.race([asked, pause(SNAPSHOT_ALONE_MS)]);
    if (early) return beginFromPeer(early);
    const listed = await store.list();
    if (listed.isErr()) {
      const late = await asked;
      return late ? beginFromPeer(late) : listed.error;
    }
    reach.answered();
    return begin(listed.value);
  };
  const stepWatch = async (): Promise<StoreFailure | undefined> => {
    const after = beliefs.revision;
    // While the store may be away, a call does not wait: whether it answers
    // is then known a second sooner.
    const watched = await store.watch(after, reach.calm ? WATCH_WAIT_MS : 0);
    if (watched.isErr()) return watched.error;
    reach.answered();
    reach.followThrough(undefined);
    takeChanges(after, watched.value);
    if (watched.value.changes.length > 0) await pause(GATHER_MS);
    return undefined;
  };
  /** A peer that fails is not the store's failure: the next step asks another relay, or the store. */
  const stepRelay = async (relay: InstanceEntry): Promise<undefined> => {
    const known = beliefs.moment;
    const askedAt = now();
    const heard = await watchPeer(relay, known, reach.suspected ? 0 : RELAY_WAIT_MS);
    if (heard.isErr()) reach.suspect();
    if (heard.isErr() || heard.value.epoch < beliefs.epoch) {
      avoidedUntil.set(relay.id, now() + RELAY_PAUSE_MS);
      return undefined;
    }
    // A second relay may not have noticed the outage that the first one told
    // of; the outage counts from the first one's word until the store answers.
    // How long its answer was under way is not known: only what it heard after
    // the suspicion as of the question is sure to be newer.
    const confirmed = reach.heardSinceSuspicion(askedAt, heard.value.storeHeardMsAgo);
    if (confirmed) reach.regained();
    reach.followThrough(relay);
    const { list, changes } = heard.value;
    if (list) takeList(list);
    else takeChanges(known.revision, heard.value);
    if (list || changes.length > 0 || !confirmed) await pause(GATHER_FOLLOWED_MS);
    return undefined;
  };
  const step = (): Promise<StoreFailure | undefined> => {
    if (listNext) return stepList();
    const [relay] = relays();
    reach.followThrough(relay);
    return relay ? stepRelay(relay) : stepWatch();
  };

  /** Emits when the store has come back from an older copy: no pause is worth its while then. */
  const woken = new Subject<void>();
  const restored = store.epochs.subscribe((epoch) => {
    // The relay that is followed lists for all that follow it.
    if (epoch <= beliefs.epoch || relays().length > 0) return;
    listNext = true;
    woken.next();
  });
  const rest = (ms: number): Promise<unknown> => firstValueFrom(race(woken, timer(ms)));

  /** How many watches in a row found that their history is gone. */
  let historiesGone = 0;
  const takeFailure = (failure: StoreFailure): void => {
    // A watch that was cut is asked again from the same revision, so it
    // misses nothing; the store says when its history is gone.
    if (failure.kind !== 'history-gone') {
      reach.lost(failure);
      return;
    }
    reach.answered();
    report({ event: 'history gone', followed: beliefs.moment });
    listNext = true;
    historiesGone += 1;
  };
  const run = async (): Promise<void> => {
    let retryMs = 0;
    while (!stopped) {
      const isWatch = !listNext;
      const failure = await step();
      if (!failure) {
        // A list alone proves nothing: the next watch may find no history again.
        if (isWatch) {
          retryMs = 0;
          historiesGone = 0;
        }
      } else {
        takeFailure(failure);
        if (failure.kind === 'history-gone' && historiesGone === 1) continue;
        await rest(retryMs * (0.5 + random()));
        const mostMs = reach.peerReachedStore ? RETRY_SERVED_MS : RETRY_MOST_MS;
        retryMs = Math.min(mostMs, Math.max(RETRY_FIRST_MS, retryMs * 2));
      }
    }
  };
  run().catch((error: Error) => {
    reach.status.next({
      reached: false,
      since: now(),
      reason: `follower stopped: ${error.message}`,
    });
  });

  return {
    status: reach.status,
    changeLog,
    storeHeardMsAgo: () => reach.heardMsAgo,
    list: () => incoming.list(),
    stop: () => {
      stopped = true;
      restored.unsubscribe();
      reach.stopAsking();
    },
  };
};
