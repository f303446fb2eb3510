/**
 * Simulates the instances of a fleet in virtual time: real followers,
 * registrations and peer routers, on a simulated store and network that tests
 * can partition.
 */
import { ResultAsync } from 'neverthrow';
import type {
  StoreRecord,
  RelayedChanges,
  Follower,
  InstanceEntry,
  PeerResponse,
  Registration,
} from '@cardamomladder/fleet';
import { ClusterState, follow, startRegistration, unpackList } from '@cardamomladder/fleet';
import type { Scope } from '@cardamomladder/settings';
import type { StorePosition } from '@cardamomladder/types';
import {
  failureDomainName,
  instanceId,
  sleep,
  regionName,
  socketAddress,
} from '@cardamomladder/types';
import { BehaviorSubject } from 'rxjs';
import { selectPeers } from '../ask';
import { recordQuery } from '../recordQuery';
import type { PeerRouter } from '../router';
import { peerRouter } from '../router';
import { startAliveStatements } from '../../lifecycle/aliveStatements';
import { LiveInstances } from '../../lifecycle/liveInstances';
import type { Phase } from '../../lifecycle/phase';
import { TargetsPace } from '../../scope';
import { Bulletin, startExchange } from '../exchange';
import { RecentPeers, knownInstances } from '../recentPeers';
import { changesFromResponse } from '../watch';
import type { SimulatedStore } from './simulatedStore';
import { StoreCallError } from './simulatedStore';

/** Failure domains and their regions, assigned to instances in rotation. */
const LOCATIONS = [
  ['north-a', 'north'],
  ['south-a', 'south'],
  ['east-a', 'east'],
  ['north-b', 'north'],
  ['south-b', 'south'],
  ['east-b', 'east'],
] as const;
/** Round-trip time between two instances, ms: within one region and between two. */
const SAME_REGION_RTT_MS = 2;
const CROSS_REGION_RTT_MS = 40;
/** Timeout of a request for records, and the time a followed peer may take beyond its wait time, ms. */
const EXCHANGE_INTERVAL_MS = 250;
const FACTS_TIMEOUT_MS = 400;
const CHANGES_TIMEOUT_MARGIN_MS = 300;

/** Network partition of an instance: from the store only, or from everything, as when its process is frozen. */
export type Partition = 'none' | 'store' | 'all';

/** One simulated instance. */
export interface SimulatedInstance {
  self: InstanceEntry;
  clusterState: ClusterState;
  follower: Follower;
  partition: Partition;
  registration: Registration;
  live: LiveInstances;
  phase: BehaviorSubject<Phase>;
  /** The instances that its directory may name. */
  known: () => InstanceEntry[];
  stopExchange: () => void;
  answers: ReturnType<PeerRouter['createCaller']>;
}

const entryFor = (number: number): InstanceEntry => {
  const [failureDomain, region] = LOCATIONS[number % LOCATIONS.length];
  return {
    id: instanceId(`i-${number}`),
    callerAddress: socketAddress(`i-${number}:1`),
    peerAddress: socketAddress(`i-${number}:2`),
    failureDomain: failureDomainName(failureDomain),
    region: regionName(region),
    capacity: { cores: number % 7 === 0 ? 1.35 : 0.27, linkMbps: 200 },
  };
};

/** Resolves with the value, or with undefined after the timeout. */
const withTimeout = async <T>(
  ms: number,
  pending: Promise<T> | undefined,
): Promise<T | undefined> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<undefined>((resolve) => {
    timer = setTimeout(() => resolve(undefined), ms);
  });
  try {
    return await (pending ? Promise.race([pending, timeout]) : timeout);
  } finally {
    clearTimeout(timer);
  }
};

const servingEntry = ({ self, phase }: SimulatedInstance): InstanceEntry | null =>
  phase.value === 'serving' ? self : null;

const unavailable = (reason: string): StoreCallError => new StoreCallError('unavailable', reason);

/** The instances of one simulated fleet. */
export class SimulatedFleet {
  readonly live = new Map<string, SimulatedInstance>();

  private started = 0;

  constructor(
    private readonly store: SimulatedStore,
    private readonly random: () => number,
    /** Where the statements of live instances are in effect. */
    private readonly scope: Scope = 'off',
  ) {}

  /** Messages of the exchange and queries for records that were sent so far. */
  readonly sent = { exchange: 0, facts: 0 };

  /** Starts an instance. */
  join(): SimulatedInstance {
    const self = entryFor(this.started);
    this.started += 1;
    const clusterState = new ClusterState();
    const now = () => performance.now();
    const member = { self, clusterState, partition: 'none' } as SimulatedInstance;
    const store = this.store.clientFor(() => member.partition === 'none');
    const recentPeers = new RecentPeers(now);
    member.live = new LiveInstances(clusterState, now);
    member.known = () => [...knownInstances(member.live, recentPeers).values()];
    clusterState.changes.subscribe((change) => {
      if (change.kind === 'instance-gone') recentPeers.remove(change.id);
    });
    const bulletin = new Bulletin({ self: self.id, run: this.started, now });
    member.follower = follow({
      store,
      clusterState,
      self,
      queryPeers: recordQuery({
        select: (round) =>
          selectPeers([...knownInstances(clusterState, recentPeers).values()], self, [], round),
        query: (at, known) => this.queryRecords(member, at, known),
      }),
      requestSnapshot: async () => undefined,
      watchPeer: (peer, known, waitMs) =>
        ResultAsync.fromPromise(
          this.queryChanges(member, peer, known, waitMs),
          (error) => error as StoreCallError,
        ),
      now,
      random: this.random,
      report: () => {},
    });
    member.answers = peerRouter({
      lend: () => ({ lent: [] }),
      clusterState,
      follower: member.follower,
      crashReports: {
        mark: { log: self.id, sequence: 0 },
        after: () => ({ mark: { log: self.id, sequence: 0 }, reports: [] }),
        receive: () => {},
      },
      recordPeer: recentPeers.record.bind(recentPeers),
      bulletin,
      pace: new TargetsPace(),
      now,
    }).createCaller({});
    member.registration = startRegistration({
      store,
      clusterState,
      self,
      now,
      report: () => {},
    });
    member.phase = new BehaviorSubject<Phase>('serving');
    member.stopExchange = this.scope === 'off' ? () => {} : this.startStatements(member, bulletin);
    this.live.set(self.peerAddress, member);
    return member;
  }

  private startStatements(member: SimulatedInstance, bulletin: Bulletin): () => void {
    const { self, clusterState, live, registration } = member;
    const log = { write: () => {} };
    const alive = startAliveStatements(
      {
        settings: () => ({ liveInstances: { scope: this.scope } }),
        ...{ self, clusterState, live, bulletin, phase: member.phase, run: this.started, log },
        ready: () => member.phase.value === 'serving',
        ownEntry: () => self,
        pace: new TargetsPace(),
      },
      () => registration,
    );
    const rounds = startExchange({
      ...{ bulletin, self, log, serving: alive.serving, beforeRound: alive.say },
      intervalMs: EXCHANGE_INTERVAL_MS,
      enabled: () => this.scope === 'all',
      ask: (peer, message) => {
        this.sent.exchange += 1;
        return this.call(member, peer.peerAddress, FACTS_TIMEOUT_MS, (to) =>
          to.answers.exchange(message),
        );
      },
    });
    rounds.add(alive.subscription);
    return () => rounds.unsubscribe();
  }

  /** Stops an instance gracefully, or kills it; the entry of a killed instance stays until its lease expires. */
  terminate(member: SimulatedInstance, how: 'stopped' | 'killed'): void {
    this.live.delete(member.self.peerAddress);
    member.follower.stop();
    member.stopExchange();
    const left = () => {};
    if (how === 'killed') Object.assign(member, { partition: 'all' });
    member.registration.deregister().then(left, left);
  }

  /** A call from one instance to another, which may be stopped or partitioned. */
  private async call<T>(
    from: SimulatedInstance,
    at: string,
    withinMs: number,
    answer: (peer: SimulatedInstance) => Promise<T>,
  ): Promise<T> {
    const to = this.live.get(at);
    const isNear = to?.self.region === from.self.region;
    await sleep(isNear ? SAME_REGION_RTT_MS : CROSS_REGION_RTT_MS);
    if (!to) throw unavailable('connection refused');
    const isPartitioned = () => from.partition === 'all' || to.partition === 'all';
    const pending = isPartitioned() ? undefined : answer(to);
    const value = await withTimeout(withinMs, pending);
    if (isPartitioned() || !pending || value === undefined) throw unavailable('no response');
    if (!this.live.has(at)) throw unavailable('connection closed');
    return value;
  }

  private async queryRecords(
    from: SimulatedInstance,
    at: string,
    known: StorePosition,
  ): Promise<PeerResponse | undefined> {
    this.sent.facts += 1;
    try {
      const request = { ...known, asker: servingEntry(from) };
      const { packed, changes, position, storeReachedForMs } = await this.call(
        from,
        at,
        FACTS_TIMEOUT_MS,
        (peer) => peer.answers.facts(request),
      );
      if (packed === undefined) return { storeReachedForMs, position, changes };
      const list = await unpackList(packed);
      return list.isOk() ? { storeReachedForMs, position, list: list.value } : undefined;
    } catch {
      return undefined;
    }
  }

  private async queryChanges(
    from: SimulatedInstance,
    peer: InstanceEntry,
    known: StorePosition,
    waitMs: number,
  ): Promise<RelayedChanges> {
    const request = {
      ...known,
      asker: servingEntry(from),
      waitMs,
      unpacks: true,
      takesLists: true,
    };
    const answer = await this.call(
      from,
      peer.peerAddress,
      waitMs + CHANGES_TIMEOUT_MARGIN_MS,
      (to) => to.answers.changes(request),
    );
    const facts = await changesFromResponse(peer, answer);
    if (facts.isErr()) throw new StoreCallError(facts.error.kind, facts.error.message);
    return facts.value;
  }
}

/** A fact that tests write to check which instances receive it. */
export const evacuationValue = (name: string): StoreRecord['fact'] => ({
  kind: 'evacuation',
  failureDomain: failureDomainName(name),
});
