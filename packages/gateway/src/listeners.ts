/** The servers of one instance and where they listen. */
import type { Server } from 'node:http';
import type { Follower } from '@cardamomladder/fleet';
import type { SocketAddress } from '@cardamomladder/types';
import { splitAddress } from '@cardamomladder/types';
import type { Parts } from './parts';
import { peerRouter } from './peers/router';
import { createPeerServer } from './peers/server';
import { knownInstances } from './peers/recentPeers';
import type { Quotas } from './quota/quotas';
import { startQuotas } from './quota/quotas';
import { repeatBudgets } from './requests/repeatBudgets';
import type { CallerConnections } from './server/callerConnections';
import { createCallerServer } from './server/callerServer';
import { nearestInstances } from './server/directory';
import {
  createDirectoryServer,
  createMetricsServer,
  createReadinessServer,
} from './server/auxiliaryServers';
import { CrashWitness } from './targets/crashWitness';
import { refusesConnections } from './targets/refusal';
import { TargetRegistry } from './targets/registry';
import type { DirectoryQuestion } from './wireNames';

/** How long callers keep a directory answer, seconds: they leave a stopping instance within it, and ask no more often than they must. */
const DIRECTORY_TTL_SECONDS = 2;

/** The servers, all listening. */
export interface Listeners {
  /** The callers' connections, for a planned stop. */
  connections: CallerConnections;
  close: () => void;
}

const listen = (server: Server, address: string): Promise<void> => {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
};

const registryOf = ({ settings, beliefs, fleet, named, self, now }: Parts): TargetRegistry => {
  const { failureDomains, bounds } = settings();
  return new TargetRegistry({
    beliefs,
    fleet,
    named,
    ownRegion: self.region,
    ownDomain: self.failureDomain,
    domains: failureDomains,
    self: self.id,
    coldOverage: bounds.coldOverage,
    coldSlack: bounds.coldSlack,
    now,
  });
};

/** Reports crashes, but those that a request held already explains. */
const crashWitnessOf = (parts: Parts): CrashWitness => {
  const { quarantine, answeredLately, crashReports, log, metrics } = parts;
  return new CrashWitness(refusesConnections, (crash) => {
    metrics.targetCrashes.inc();
    log.write('target-crashed', undefined, { ...crash });
    if (crash.requests.some((asked) => quarantine.holds(asked))) return;
    crashReports.crashed(crash);
    crash.requests
      .filter(({ request }) => answeredLately.has(request))
      .forEach(({ request }) => crashReports.answered({ request }));
  });
};

const callersOf = (parts: Parts, registry: TargetRegistry, quotas: Quotas) => {
  const { settings, beliefs, phase, wire, fleet, metrics, log, now } = parts;
  const { quarantine, answeredLately, crashReports } = parts;
  return createCallerServer({
    quotas,
    quarantine,
    answeredLately,
    crashReports,
    beliefs,
    phase,
    wire,
    registry,
    crashes: crashWitnessOf(parts),
    budgetOf: repeatBudgets(() => settings().bounds),
    fleetSize: () => fleet.size(),
    keysRequired: () => beliefs.configuration?.customers !== undefined,
    versions: () => ({
      configuration: beliefs.configuration?.version ?? 0,
      ...beliefs.moment,
    }),
    metrics,
    log,
    now,
  });
};

const MS_PER_SECOND = 1000;

const quotasOf = (
  { settings, self, beliefs, named, log, now }: Parts,
  { storeHeardMsAgo }: Follower,
): Quotas => {
  const { quotaWindowSeconds, quotaOverage, quotaSlack } = settings().bounds;
  return startQuotas({
    self: self.id,
    beliefs,
    named,
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

/** Answers directory questions from entries, peers heard of directly, and this instance's own state. */
const lookUpIn =
  ({ beliefs, vouched, ready, self }: Parts) =>
  (question: DirectoryQuestion): SocketAddress[] => {
    const known = knownInstances(beliefs, vouched);
    if (ready()) known.set(self.id, self);
    else known.delete(self.id);
    return nearestInstances([...known.values()], question);
  };

const metricsPageOf = (
  { metrics, beliefs }: Parts,
  registry: TargetRegistry,
  linesDropped: () => number,
): Server =>
  createMetricsServer(metrics, () => {
    metrics.knownTargets.set(registry.size);
    metrics.limitedTargets.set(registry.limited);
    metrics.knownInstances.set(beliefs.instances.size);
    metrics.storeEpoch.set(beliefs.epoch);
    metrics.configurationVersion.set(beliefs.configuration?.version ?? 0);
    metrics.logLinesDropped.set(linesDropped());
  });

/** Builds the servers; resolves once they listen. */
export const startListeners = async (
  parts: Parts,
  follower: Follower,
  linesDropped: () => number,
): Promise<Listeners> => {
  const { wire, beliefs, vouched, crashReports, ready, now } = parts;
  const { listen: at, instance, metricsPort, bounds } = parts.settings();
  const registry = registryOf(parts);
  const quotas = quotasOf(parts, follower);
  const { server: callers, connections } = callersOf(parts, registry, quotas);
  const directoryTtl = Math.min(DIRECTORY_TTL_SECONDS, bounds.directoryTtlSeconds);
  const recordPeer = vouched.record.bind(vouched);
  const servers: [Server, string][] = [
    [callers, at.callers],
    [createDirectoryServer(wire, lookUpIn(parts), directoryTtl), at.directory],
    [createReadinessServer(wire, ready), at.readiness],
    [
      createPeerServer(
        peerRouter({ beliefs, follower, crashReports, recordPeer, lend: quotas.lend, now }),
      ),
      at.peers,
    ],
  ];
  if (metricsPort > 0)
    servers.push([metricsPageOf(parts, registry, linesDropped), `${instance.ip}:${metricsPort}`]);
  await Promise.all(servers.map(([server, address]) => listen(server, address)));
  return {
    connections,
    close: () => {
      quotas.stop();
      servers.forEach(([server]) => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
};
