/** Creates the servers of one instance and binds them to their addresses. */
import type { IncomingMessage, Server } from 'node:http';
import type { Follower, Registration } from '@cardamomladder/fleet';
import { MemoryBudget, paceConnections, readPacer } from '@cardamomladder/http-json';
import type { SocketAddress, TargetCrash } from '@cardamomladder/types';
import { splitAddress } from '@cardamomladder/types';
import type { Components } from './components';
import { createFairShares, startPeerExchange } from './exchangedParts';
import type { PaceProbes } from './pace/paceProbes';
import { createPaceConditions, createPaceProbes } from './pace/targetPaces';
import { peerRouter } from './peers/router';
import { createPeerServer, isForwarded } from './peers/server';
import { knownInstances } from './peers/recentPeers';
import { createForwardingPeers, createReachMonitor } from './reach/instanceReach';
import type { ReachMonitor } from './reach/reachMonitor';
import type { Quotas } from './quota/quotas';
import { startQuotas } from './quota/quotas';
import type { FairShares } from './requests/fairShares';
import { Admission } from './requests/admission';
import { createRetryBudgets } from './requests/retryBudgets';
import type { CallerConnections } from './server/callerConnections';
import { ReadBarrier } from './requests/readBarrier';
import { AcceptQueue } from './server/acceptQueue';
import { createConnectionCloser } from './server/closedConnections';
import { createCallerServer } from './server/callerServer';
import { nearestInstances } from './server/directory';
import {
  createDirectoryServer,
  createMetricsServer,
  createReadinessServer,
} from './server/auxiliaryServers';
import { CrashDetector } from './targets/crashDetector';
import { refusesConnections } from './targets/refusesConnections';
import { TargetRegistry } from './targets/registry';
import type { DirectoryQuery } from './wireProtocol';

/** How long callers cache a directory response, in seconds: callers move off a stopping instance within this time, and a longer TTL means fewer directory requests. */
const DIRECTORY_TTL_SECONDS = 2;

/** Memory of the bodies of requests, which one body may exceed, bytes. */
const MAX_BODIES_BYTES = 32 * 1024 * 1024;
/** Memory of the answers that wait to be passed on, bytes. */
const MAX_ANSWERS_BYTES = 48 * 1024 * 1024;

/** The memory of the bodies that the process holds, in each direction. */
interface HeldBodies {
  bodies: MemoryBudget;
  answers: MemoryBudget;
}

/** The running servers. */
export interface Listeners {
  /** Caller connections, tracked for a graceful shutdown. */
  connections: CallerConnections;
  /** Closes all connections; resolves once their peers have closed them too, after `ms` at most. */
  close: (ms: number) => Promise<void>;
}

const listen = (server: Server, address: string): Promise<void> => {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
};

const createTargetRegistry = (components: Components, paceProbes: PaceProbes): TargetRegistry => {
  const { settings, clusterState, fleet, advertised, self, now } = components;
  const { failureDomains, bounds } = settings();
  return new TargetRegistry({
    pace: createPaceConditions(components, paceProbes),
    clusterState,
    fleet,
    advertised,
    ownRegion: self.region,
    ownDomain: self.failureDomain,
    regionByDomain: failureDomains,
    self: self.id,
    coldOverage: bounds.coldOverage,
    coldSlack: bounds.coldSlack,
    now,
  });
};

/** Reports target crashes, except those explained by a request that is already quarantined. */
const createCrashDetector = (components: Components, reach: ReachMonitor): CrashDetector => {
  const { quarantine, recentAnswers, crashReports, log, metrics } = components;
  const report = (crash: TargetCrash) => {
    metrics.targetCrashes.inc();
    log.write('target-crashed', undefined, { ...crash });
    if (crash.requests.some((suspect) => quarantine.blocks(suspect))) return;
    crashReports.addCrash(crash);
    crash.requests
      .filter(({ request }) => recentAnswers.has(request))
      .forEach(({ request }) => crashReports.answered({ request }));
  };
  return new CrashDetector(refusesConnections, report, () => reach.verify());
};

/** Creates the admission; a planned stop refuses those that wait, and new targets wake them. */
const createAdmission = (
  { settings, clusterState, phase, metrics, now }: Components,
  registry: TargetRegistry,
  reads: ReadBarrier,
): Admission => {
  const admission = new Admission({
    settings: settings().admission,
    registry,
    reads,
    metrics,
    now,
  });
  clusterState.changes.subscribe(({ kind }) => {
    if (kind === 'target' || kind === 'evacuation') admission.targetsChanged();
  });
  phase.subscribe((value) => {
    if (value === 'leaving') admission.stop();
  });
  return admission;
};

const createCallerListener = (
  components: Components,
  registry: TargetRegistry,
  reach: ReachMonitor,
  quotas: Quotas,
  fairShares: FairShares,
  paceProbes: PaceProbes,
  reads: ReadBarrier,
  { bodies, answers }: HeldBodies,
) => {
  const { settings, store, clusterState, phase, wire, fleet, self, metrics, log, now } = components;
  const { plannedEnd, quarantine, recentAnswers, crashReports } = components;
  return createCallerServer({
    quotas,
    bodies,
    answers,
    fairShares,
    quarantine,
    recentAnswers,
    crashReports,
    clusterState,
    phase,
    wire,
    registry,
    reach,
    paceProbes,
    peers: createForwardingPeers(components),
    self: self.id,
    crashes: createCrashDetector(components, reach),
    admission: createAdmission(components, registry, reads),
    reads,
    retriesOf: createRetryBudgets({
      self: self.id,
      bounds: () => settings().bounds,
      store,
      fleetSize: () => fleet.size(),
      metrics,
      log,
      now,
    }),
    endsAt: () => plannedEnd.value,
    apiKeysRequired: () => clusterState.configuration?.customers !== undefined,
    versions: () => ({
      configuration: clusterState.configuration?.version ?? 0,
      ...clusterState.position,
    }),
    metrics,
    log,
    now,
  });
};

/** Time for which a stop lets peers close their connections where it awaits no responses, ms. */
const MAX_UNAWAITED_CLOSE_MS = 2000;
const MS_PER_SECOND = 1000;
/** Time from which a run of accepted connections is logged, ms: a caller gives a connection up after a second. */
const LOGGED_ACCEPT_RUN_MS = 250;

const createAcceptQueue = ({ metrics, log, now }: Components): AcceptQueue =>
  new AcceptQueue(now, ({ connections, ms }) => {
    metrics.acceptRunSeconds.observe(ms / MS_PER_SECOND);
    if (ms >= LOGGED_ACCEPT_RUN_MS)
      log.write('lifecycle', undefined, {
        event: 'connections waited',
        accepted: connections,
        ms: Math.round(ms),
      });
  });

const createQuotas = (
  { settings, self, clusterState, live, advertised, log, now }: Components,
  { storeHeardMsAgo }: Follower,
): Quotas => {
  const { quotaWindowSeconds, quotaOverage, quotaSlack } = settings().bounds;
  return startQuotas({
    self: self.id,
    clusterState,
    live,
    advertised,
    tolerance: {
      windowMs: quotaWindowSeconds * MS_PER_SECOND,
      overage: quotaOverage,
      slack: quotaSlack,
    },
    storeHeardMsAgo,
    log,
    now,
  });
};

/** Resolves directory queries from the live instances, recently seen peers and this instance's own readiness. */
const createDirectoryLookup =
  ({ live, recentPeers, ready, self, ownEntry }: Components) =>
  (query: DirectoryQuery): SocketAddress[] => {
    const known = knownInstances(live, recentPeers);
    if (ready()) known.set(self.id, ownEntry());
    else known.delete(self.id);
    return nearestInstances([...known.values()], query);
  };

const createMetricsEndpoint = (
  { metrics, clusterState, live, now }: Components,
  registry: TargetRegistry,
  linesDropped: () => number,
): Server =>
  createMetricsServer(metrics, () => {
    metrics.knownTargets.set(registry.size);
    metrics.limitedTargets.set(registry.limitedCount);
    metrics.ejectedTargets.set(
      registry.services.reduce((sum, { pace }) => sum + pace.countAt(now()), 0),
    );
    metrics.knownInstances.set(clusterState.instances.size);
    metrics.statedInstances.set(live.keptCount);
    metrics.storeEpoch.set(clusterState.epoch);
    metrics.configurationVersion.set(clusterState.configuration?.version ?? 0);
    metrics.waitingReads.set(readPacer.waitingConnections);
    metrics.logLinesDropped.set(linesDropped());
  });

/** Creates the servers and resolves once they all listen. */
export const startListeners = async (
  components: Components,
  follower: Follower,
  registration: () => Registration | undefined,
  linesDropped: () => number,
): Promise<Listeners> => {
  const { wire, clusterState, recentPeers, crashReports, bulletin, pace, ready, now } = components;
  const { listen: addresses, instance, metricsPort, bounds } = components.settings();
  const paceProbes = createPaceProbes(components);
  const registry = createTargetRegistry(components, paceProbes);
  const quotas = createQuotas(components, follower);
  const fairShares = createFairShares(components, registry);
  const reach = createReachMonitor(components, registry);
  const acceptQueue = createAcceptQueue(components);
  const reads = new ReadBarrier({ now, mayAcceptMore: () => acceptQueue.mayHoldMore });
  const held: HeldBodies = {
    bodies: new MemoryBudget(MAX_BODIES_BYTES),
    answers: new MemoryBudget(MAX_ANSWERS_BYTES),
  };
  const {
    server: callers,
    connections,
    serveForwarded,
  } = createCallerListener(
    components,
    registry,
    reach,
    quotas,
    fairShares,
    paceProbes,
    reads,
    held,
  );
  const directoryTtl = Math.min(DIRECTORY_TTL_SECONDS, bounds.directoryTtlSeconds);
  pace.observe(registry);
  const exchange = startPeerExchange(components, registry, registration, fairShares);
  const recordPeer = recentPeers.record.bind(recentPeers);
  const router = peerRouter({
    clusterState,
    follower,
    crashReports,
    recordPeer,
    bulletin,
    pace,
    lend: quotas.lend,
    now,
  });
  const peers = createPeerServer(router, serveForwarded);
  acceptQueue.watch(callers);
  acceptQueue.watch(peers);
  const servers: [Server, string, isAwaited?: (req: IncomingMessage) => boolean][] = [
    [callers, addresses.callers, () => true],
    [
      createDirectoryServer(wire, createDirectoryLookup(components), directoryTtl),
      addresses.directory,
    ],
    [createReadinessServer(wire, ready), addresses.readiness],
    [peers, addresses.peers, isForwarded],
  ];
  if (metricsPort > 0)
    servers.push([
      createMetricsEndpoint(components, registry, linesDropped),
      `${instance.ip}:${metricsPort}`,
    ]);
  servers.forEach(([server]) => paceConnections(server));
  const closers = servers.map(([server, , isAwaited]) => ({
    closer: createConnectionCloser(server, isAwaited ?? (() => false), components),
    maxMs: isAwaited ? Infinity : MAX_UNAWAITED_CLOSE_MS,
  }));
  await Promise.all(servers.map(([server, address]) => listen(server, address)));
  return {
    connections,
    close: async (ms) => {
      reach.stop();
      quotas.stop();
      exchange.unsubscribe();
      await Promise.all(closers.map(({ closer, maxMs }) => closer.closeAll(Math.min(ms, maxMs))));
    },
  };
};
