/** What the parts of one instance share, and the parts that need nothing else. */
import { randomUUID } from 'node:crypto';
import type { BehaviorSubject } from 'rxjs';
import type { Follower, InstanceEntry, Registration, Store } from '@cardamomladder/fleet';
import { Beliefs, CrashReports, follow, startRegistration } from '@cardamomladder/fleet';
import type { InstanceSettings } from '@cardamomladder/settings';
import { AnsweredLately, Quarantine } from '@cardamomladder/steering';
import type { GatewayMetrics } from '@cardamomladder/telemetry';
import { gatewayMetrics, logger } from '@cardamomladder/telemetry';
import {
  failureDomainName,
  instanceId,
  momentOf,
  regionName,
  socketAddress,
} from '@cardamomladder/types';
import { logBeliefs } from './beliefLog';
import type { DecisionLog } from './decisionLog';
import { decisionLog } from './decisionLog';
import { FleetMembers } from './lifecycle/fleetMembers';
import { NamedInstances } from './lifecycle/namedInstances';
import type { Phase } from './lifecycle/phase';
import { createPhase } from './lifecycle/phase';
import { askPeers, askSnapshot } from './peers/ask';
import { reportExchange } from './peers/reportExchange';
import { RecentPeers, knownInstances } from './peers/recentPeers';
import { watchPeer } from './peers/watch';
import type { Wire } from './wireNames';

/** The shared parts. */
export interface Parts {
  /** The settings in force; a reload replaces them. */
  settings: () => InstanceSettings;
  store: Store;
  wire: Wire;
  log: DecisionLog;
  metrics: GatewayMetrics;
  phase: BehaviorSubject<Phase>;
  beliefs: Beliefs;
  self: InstanceEntry;
  vouched: RecentPeers;
  fleet: FleetMembers;
  /** The instances that callers are sent to. */
  named: NamedInstances;
  /** Requests kept from targets, as they crash them. */
  quarantine: Quarantine;
  answeredLately: AnsweredLately;
  /** What this instance saw of crashes. */
  crashReports: CrashReports;
  /** True while this instance takes callers. */
  ready: () => boolean;
  /** Steady clock, ms. */
  now: () => number;
}

const entryOf = ({ instance, listen }: InstanceSettings): InstanceEntry => ({
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

/** The quarantine, as it follows from the reports in the store; each change of what it holds is logged. */
const quarantineOf = (beliefs: Beliefs, log: DecisionLog, now: () => number): Quarantine => {
  const quarantine = new Quarantine(now);
  beliefs.changes.subscribe((change) => {
    if (change.kind === 'crash-report')
      quarantine.file(change.key, momentOf(change), change.report);
    if (change.kind === 'crash-report-gone') quarantine.drop(change.key);
  });
  quarantine.changes.subscribe((held) =>
    log.write('quarantine', undefined, { held: [...held], revision: beliefs.revision }),
  );
  return quarantine;
};

/** This instance's reports of crashes; its peers get those that the store does not have. */
const crashReportsOf = (
  { store, beliefs, fleet, log, now }: Pick<Parts, 'store' | 'beliefs' | 'fleet' | 'log' | 'now'>,
  book: Quarantine,
): CrashReports => {
  const crashReports = new CrashReports({
    store,
    book,
    fleetSize: () => fleet.size(),
    nextId: randomUUID,
    logName: randomUUID(),
    random: Math.random,
    epoch: () => beliefs.epoch,
    now,
    log: (event, detail) => log.write('crash-report', undefined, { event, detail }),
  });
  beliefs.changes.subscribe((change) => {
    if (change.kind === 'crash-report') crashReports.stored(change.key);
    if (change.kind === 'restored')
      crashReports.restored(
        (key) => beliefs.revisionOf(key) > 0,
        change.outdated.map(({ key }) => key),
      );
  });
  return crashReports;
};

/** Peers by their own word, unless their entry has gone since. */
const vouchedOf = (beliefs: Beliefs, now: () => number): RecentPeers => {
  const vouched = new RecentPeers(now);
  beliefs.changes.subscribe((change) => {
    if (change.kind === 'instance-gone') vouched.remove(change.id);
  });
  return vouched;
};

/** Builds the shared parts. */
export const buildParts = (settings: () => InstanceSettings, store: Store, wire: Wire): Parts => {
  const now = () => performance.now();
  const log = decisionLog(logger('gateway'), now);
  const phase = createPhase();
  const beliefs = new Beliefs();
  logBeliefs(beliefs, log);
  const fleet = new FleetMembers(beliefs, now);
  const vouched = vouchedOf(beliefs, now);
  const quarantine = quarantineOf(beliefs, log, now);
  return {
    settings,
    store,
    wire,
    log,
    metrics: gatewayMetrics(false),
    phase,
    beliefs,
    self: entryOf(settings()),
    vouched,
    fleet,
    named: new NamedInstances(beliefs, now),
    quarantine,
    answeredLately: new AnsweredLately(now),
    crashReports: crashReportsOf({ store, beliefs, fleet, log, now }, quarantine),
    ready: () => phase.value === 'serving' && beliefs.configuration !== undefined,
    now,
  };
};

/** Starts following the store. */
export const startFollowing = (parts: Parts): Follower => {
  const { store, beliefs, vouched, crashReports, self, log, metrics, now, ready } = parts;
  const { seeds } = parts.settings();
  const ownServingEntry = () => (ready() ? self : null);
  const peers = () => [...knownInstances(beliefs, vouched).values()];
  let storeReached = false;
  const exchangeReports = reportExchange({ crashReports, storeReached: () => storeReached, log });
  const asking = { peers, self, seeds, ownServingEntry, exchangeReports, log };
  const follower = follow({
    store,
    beliefs,
    self,
    askPeers: askPeers(asking),
    askSnapshot: askSnapshot(asking, Math.random),
    watchPeer: watchPeer({ ownServingEntry, log }),
    now,
    random: Math.random,
    report: (event) => log.write('store', undefined, { ...event }),
  });
  follower.status.subscribe(({ reached, reason, through }) => {
    storeReached = reached;
    metrics.storeReached.set(reached ? 1 : 0);
    const event = reached ? 'reached' : 'lost';
    log.write('store', undefined, { event, reason, through: through?.id });
  });
  return follower;
};

/** Registers once a configuration is known, and serves from then on; returns the registration, if there is one yet. */
export const registerWhenConfigured = (parts: Parts): (() => Registration | undefined) => {
  const { store, beliefs, self, phase, log, now } = parts;
  let registration: Registration | undefined;
  const waiting = beliefs.changes.subscribe((change) => {
    if (change.kind !== 'configuration' || phase.value !== 'starting') return;
    phase.next('serving');
    queueMicrotask(() => waiting.unsubscribe());
    registration = startRegistration({
      store,
      beliefs,
      self,
      now,
      report: (event, detail) => log.write('registration', undefined, { event, detail }),
    });
  });
  return () => registration;
};
