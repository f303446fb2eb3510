/** Creates the components that the servers and background tasks of one instance share. */
import { randomUUID } from 'node:crypto';
import {
  BehaviorSubject,
  delay,
  distinctUntilChanged,
  merge,
  of,
  skip,
  startWith,
  switchMap,
} from 'rxjs';
import type { Follower, InstanceEntry, Registration, Store } from '@cardamomladder/fleet';
import { ClusterState, CrashReports, follow, startRegistration } from '@cardamomladder/fleet';
import type { InstanceSettings } from '@cardamomladder/settings';
import { RecentAnswers, Quarantine } from '@cardamomladder/steering';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import { gatewayMetrics, logger } from '@cardamomladder/telemetry';
import {
  failureDomainName,
  instanceId,
  positionOf,
  regionName,
  socketAddress,
} from '@cardamomladder/types';
import type { DecisionLog } from './decisionLog';
import { decisionLog } from './decisionLog';
import { FleetMembers } from './lifecycle/fleetMembers';
import { AdvertisedInstances } from './lifecycle/advertisedInstances';
import { LiveInstances } from './lifecycle/liveInstances';
import type { Phase } from './lifecycle/phase';
import { createPhase } from './lifecycle/phase';
import { createPeerQuery, createSnapshotQuery } from './peers/ask';
import { Bulletin } from './peers/exchange';
import { reportExchange } from './peers/reportExchange';
import { RecentPeers, knownInstances } from './peers/recentPeers';
import { watchPeer } from './peers/watch';
import { TargetsPace } from './scope';
import { logStateChanges } from './stateChangeLog';
import type { WireProtocol } from './wireProtocol';

/** Shared components of one instance. */
export interface Components {
  /** Returns the current settings; a reload replaces them. */
  settings: () => InstanceSettings;
  store: Store;
  wire: WireProtocol;
  log: DecisionLog;
  metrics: GatewayMetrics;
  phase: BehaviorSubject<Phase>;
  clusterState: ClusterState;
  self: InstanceEntry;
  /** True while this instance reaches no target. */
  cutOff: BehaviorSubject<boolean>;
  /** The same, once it has lasted for a moment; peers and directories are told only then. */
  announcedCutOff: BehaviorSubject<boolean>;
  /** The registry entry of this instance as it should be now. */
  ownEntry: () => InstanceEntry;
  /** The instances that serve callers, as far as this one knows. */
  live: LiveInstances;
  recentPeers: RecentPeers;
  /** What this instance says to its peers and has heard from them. */
  bulletin: Bulletin;
  /** Whether targets state their pace, as this instance and its peers have seen. */
  pace: TargetsPace;
  /** Start time of this process (Unix time, ms). */
  run: number;
  fleet: FleetMembers;
  /** The instances that the directory advertises to callers. */
  advertised: AdvertisedInstances;
  /** Requests that are not sent to targets because they crash them. */
  quarantine: Quarantine;
  recentAnswers: RecentAnswers;
  /** Target crashes observed by this instance. */
  crashReports: CrashReports;
  /** When this process ends, ms on the monotonic clock; Infinity unless it is stopping. */
  plannedEnd: BehaviorSubject<number>;
  /** True while this instance accepts callers. */
  ready: () => boolean;
  /** Monotonic clock, ms. */
  now: () => number;
}

const ownEntryOf = ({ instance, listen }: InstanceSettings): InstanceEntry => ({
  id: instanceId(instance.id),
  callerAddress: socketAddress(listen.callers),
  peerAddress: socketAddress(listen.peers),
  failureDomain: failureDomainName(instance.failureDomain),
  region: regionName(instance.region),
  capacity: {
    cores: instance.capacity.coreShare * instance.capacity.coreSpeed,
    linkMbps: instance.capacity.linkMbps,
  },
});

/** Creates the quarantine, derives its content from the crash reports in the store, and logs each change. */
const createQuarantine = (
  clusterState: ClusterState,
  log: DecisionLog,
  now: () => number,
): Quarantine => {
  const quarantine = new Quarantine(now);
  clusterState.changes.subscribe((change) => {
    if (change.kind === 'crash-report')
      quarantine.add(change.key, positionOf(change), change.report);
    if (change.kind === 'crash-report-gone') quarantine.remove(change.key);
  });
  quarantine.changes.subscribe((held) =>
    log.write('quarantine', undefined, { held: [...held], revision: clusterState.revision }),
  );
  return quarantine;
};

/** Creates this instance's crash reports; reports that the store does not have are passed on to peers. */
const createCrashReports = (
  {
    store,
    clusterState,
    fleet,
    log,
    now,
  }: Pick<Components, 'store' | 'clusterState' | 'fleet' | 'log' | 'now'>,
  quarantine: Quarantine,
): CrashReports => {
  const crashReports = new CrashReports({
    store,
    index: quarantine,
    fleetSize: () => fleet.size(),
    nextId: randomUUID,
    logName: randomUUID(),
    random: Math.random,
    epoch: () => clusterState.epoch,
    now,
    log: (event, detail) => log.write('crash-report', undefined, { event, detail }),
  });
  clusterState.changes.subscribe((change) => {
    if (change.kind === 'crash-report') crashReports.markStored(change.key);
    if (change.kind === 'restored')
      crashReports.restored(
        (key) => clusterState.revisionOf(key) > 0,
        change.outdated.map(({ key }) => key),
      );
  });
  return crashReports;
};

/** Creates the set of recently seen peers; a peer is dropped when its registry entry is removed, or it says that it leaves. */
const createRecentPeers = (
  clusterState: ClusterState,
  live: LiveInstances,
  now: () => number,
): RecentPeers => {
  const recentPeers = new RecentPeers(now);
  merge(clusterState.changes, live.changes).subscribe((change) => {
    if (change.kind === 'instance-gone') recentPeers.remove(change.id);
  });
  return recentPeers;
};

/** Time after which the loss of all links is announced, ms: one more probe, so that a stall of the targets or of this process writes nothing. */
const ANNOUNCE_AFTER_MS = 300;

/** Creates the shared components. */
export const createComponents = (
  settings: () => InstanceSettings,
  store: Store,
  wire: WireProtocol,
): Components => {
  const now = () => performance.now();
  const log = decisionLog(logger('gateway'), now);
  const phase = createPhase();
  const run = Date.now();
  const clusterState = new ClusterState();
  logStateChanges(clusterState, log);
  const fleet = new FleetMembers(clusterState, now);
  const live = new LiveInstances(clusterState, now);
  const recentPeers = createRecentPeers(clusterState, live, now);
  const quarantine = createQuarantine(clusterState, log, now);
  const self = ownEntryOf(settings());
  const cutOff = new BehaviorSubject(false);
  const announcedCutOff = new BehaviorSubject(false);
  cutOff
    .pipe(
      skip(1),
      switchMap((value) => of(value).pipe(delay(value ? ANNOUNCE_AFTER_MS : 0))),
      startWith(false),
      distinctUntilChanged(),
    )
    .subscribe(announcedCutOff);
  return {
    settings,
    store,
    wire,
    log,
    metrics: gatewayMetrics(false),
    phase,
    clusterState,
    self,
    cutOff,
    announcedCutOff,
    ownEntry: () => (announcedCutOff.value ? { ...self, cutOff: true } : self),
    live,
    recentPeers,
    bulletin: new Bulletin({ self: self.id, run, now }),
    run,
    pace: new TargetsPace(),
    fleet,
    advertised: new AdvertisedInstances(live, now),
    quarantine,
    recentAnswers: new RecentAnswers(now),
    crashReports: createCrashReports({ store, clusterState, fleet, log, now }, quarantine),
    plannedEnd: new BehaviorSubject(Infinity),
    ready: () => phase.value === 'serving' && clusterState.configuration !== undefined,
    now,
  };
};

/** Starts the follower that keeps the local state in step with the store. */
export const startStoreFollower = (components: Components): Follower => {
  const {
    store,
    clusterState,
    recentPeers,
    crashReports,
    self,
    log,
    metrics,
    now,
    ready,
    ownEntry,
    pace,
  } = components;
  const { seeds } = components.settings();
  const ownServingEntry = () => (ready() ? ownEntry() : null);
  // Records are asked of registered instances: most others are turned away by the store too.
  const peers = () => [...knownInstances(clusterState, recentPeers).values()];
  let storeReached = false;
  const exchangeReports = reportExchange({ crashReports, storeReached: () => storeReached, log });
  const queryOptions = {
    peers,
    self,
    seeds,
    ownServingEntry,
    exchangeReports,
    pace,
    log,
  };
  const follower = follow({
    store,
    clusterState,
    self,
    queryPeers: createPeerQuery(queryOptions),
    requestSnapshot: createSnapshotQuery(queryOptions, Math.random),
    watchPeer: watchPeer({ ownServingEntry, pace, log }),
    now,
    random: Math.random,
    report: (event) => log.write('store', undefined, { ...event }),
  });
  follower.status.subscribe(({ reached, reason, through }) => {
    storeReached = reached;
    metrics.storeReachable.set(reached ? 1 : 0);
    const event = reached ? 'reached' : 'lost';
    log.write('store', undefined, { event, reason, through: through?.id });
  });
  return follower;
};

/** Instances that are cut off at the same moment spread their registry writes over this time, ms; the store limits writes per second. */
const UPDATE_SPREAD_PER_INSTANCE_MS = 4;
const MAX_UPDATE_SPREAD_MS = 1000;

/** Starts serving and registers the instance when the first configuration arrives; the returned function gives the registration, if there is one yet. */
export const registerWhenConfigured = (
  components: Components,
): (() => Registration | undefined) => {
  const { store, clusterState, self, ownEntry, announcedCutOff, fleet, phase, log, now } =
    components;
  let registration: Registration | undefined;
  const subscription = clusterState.changes.subscribe((change) => {
    if (change.kind !== 'configuration' || phase.value !== 'starting') return;
    phase.next('serving');
    queueMicrotask(() => subscription.unsubscribe());
    registration = startRegistration({
      store,
      clusterState,
      self,
      entry: ownEntry,
      now,
      report: (event, detail) => log.write('registration', undefined, { event, detail }),
    });
  });
  announcedCutOff.pipe(skip(1)).subscribe(() => {
    const spreadMs = Math.min(MAX_UPDATE_SPREAD_MS, fleet.size() * UPDATE_SPREAD_PER_INSTANCE_MS);
    setTimeout(() => registration?.update(), Math.random() * spreadMs).unref();
  });
  return () => registration;
};
