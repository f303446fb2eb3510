/** Puts one instance together and runs it from start to planned stop. */
import type { Server } from 'node:http';
import type { InstanceEntry, Registration, Store } from '@cardamomladder/fleet';
import { Beliefs, follow, startRegistration } from '@cardamomladder/fleet';
import type { InstanceSettings } from '@cardamomladder/settings';
import { gatewayMetrics, logger } from '@cardamomladder/telemetry';
import type { GatewayMetrics, LineWriter } from '@cardamomladder/telemetry';
import type { SocketAddress } from '@cardamomladder/types';
import {
  failureDomainName,
  instanceId,
  regionName,
  socketAddress,
  splitAddress,
} from '@cardamomladder/types';
import { logBeliefs } from './beliefLog';
import { decisionLog } from './decisionLog';
import { FleetMembers } from './lifecycle/fleetMembers';
import { startPhase } from './lifecycle/phase';
import { stopGracefully } from './lifecycle/stop';
import { askPeers } from './peers/ask';
import { peerRouter } from './peers/router';
import { createPeerServer } from './peers/server';
import { VouchedPeers } from './peers/vouched';
import { watchPeer } from './peers/watch';
import { repeatBudgets } from './requests/repeatBudgets';
import { createCallerServer } from './server/callerServer';
import { nearest } from './server/directory';
import {
  createDirectoryServer,
  createMetricsServer,
  createReadinessServer,
} from './server/smallServers';
import { TargetRegistry } from './targets/registry';
import type { DirectoryQuestion, Wire } from './wireNames';

/** How long callers keep a directory answer, seconds: they leave a stopping instance within it, and ask no more often than they must. */
const DIRECTORY_TTL_SECONDS = 2;
const MS_PER_SECOND = 1000;

/** What an instance is built from. */
export interface GatewayOptions {
  settings: InstanceSettings;
  store: Store;
  wire: Wire;
  logWriter?: LineWriter;
}

/** A running instance. */
export interface Gateway {
  beliefs: Beliefs;
  metrics: GatewayMetrics;
  /** Takes changed settings into force, as far as that needs no restart. */
  reload: (settings: InstanceSettings) => void;
  /** Planned stop; resolves once nothing is under way any more. */
  stop: () => Promise<void>;
}

const steadyNow = (): number => performance.now();

const listen = (server: Server, address: string): Promise<void> => {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
};

const entryOf = (settings: InstanceSettings): InstanceEntry => ({
  id: instanceId(settings.instance.id),
  callerAddress: socketAddress(settings.listen.callers),
  peerAddress: socketAddress(settings.listen.peers),
  failureDomain: failureDomainName(settings.instance.failureDomain),
  region: regionName(settings.instance.region),
  capacity: {
    cores: settings.instance.capacity.coreShare * settings.instance.capacity.coreSpeed,
    linkMbps: settings.instance.capacity.linkMbps,
  },
});

/** Starts an instance; resolves once it listens. It is ready once it knows a configuration. */
export const startGateway = async (options: GatewayOptions): Promise<Gateway> => {
  const { store, wire } = options;
  let { settings } = options;
  const now = steadyNow;
  const log = decisionLog(logger('gateway'), now);
  const metrics = gatewayMetrics(false);
  const phase = startPhase();
  const beliefs = new Beliefs();
  const self = entryOf(settings);
  const vouched = new VouchedPeers(now);
  const fleet = new FleetMembers(beliefs, now);
  logBeliefs(beliefs, log);

  const registry = new TargetRegistry({
    beliefs,
    fleet,
    ownRegion: self.region,
    ownDomain: self.failureDomain,
    domains: settings.failureDomains,
    self: self.id,
    coldOverage: settings.bounds.coldOverage,
    coldSlack: settings.bounds.coldSlack,
    now,
  });
  const { server, connections } = createCallerServer({
    beliefs,
    phase,
    wire,
    registry,
    budgetOf: repeatBudgets(() => settings.bounds),
    fleetSize: () => fleet.size(),
    versions: () => ({
      configuration: beliefs.configuration?.version ?? 0,
      revision: beliefs.revision,
    }),
    metrics,
    log,
    now,
  });
  const ready = () => phase.value === 'serving' && beliefs.configuration !== undefined;
  const lookUp = (question: DirectoryQuestion): SocketAddress[] => {
    const known = new Map(beliefs.instances);
    vouched.list().forEach((entry) => known.set(entry.id, entry));
    if (ready()) known.set(self.id, self);
    else known.delete(self.id);
    return nearest([...known.values()], question);
  };

  const vouchFor = () => (ready() ? self : null);
  const follower = follow({
    store,
    beliefs,
    self,
    askPeers: askPeers({ beliefs, self, seeds: settings.seeds, vouchFor, log }),
    watchPeer: watchPeer({ vouchFor, log }),
    now,
    random: Math.random,
  });
  follower.status.subscribe(({ reached, reason, through }) => {
    metrics.storeReached.set(reached ? 1 : 0);
    const event = reached ? 'reached' : 'lost';
    log.write('store', undefined, { event, reason, through: through?.id });
  });

  const directoryTtl = Math.min(DIRECTORY_TTL_SECONDS, settings.bounds.directoryTtlSeconds);
  const directory = createDirectoryServer(wire, lookUp, directoryTtl);
  const readiness = createReadinessServer(wire, ready);
  const peers = createPeerServer(
    peerRouter({ beliefs, follower, vouch: (asker) => vouched.hear(asker), now }),
  );
  const metricsPage = createMetricsServer(metrics, () => {
    metrics.knownTargets.set(registry.size);
    metrics.knownInstances.set(beliefs.instances.size);
    metrics.configurationVersion.set(beliefs.configuration?.version ?? 0);
    metrics.logLinesDropped.set(options.logWriter?.dropped() ?? 0);
  });
  await Promise.all([
    listen(server, settings.listen.callers),
    listen(directory, settings.listen.directory),
    listen(readiness, settings.listen.readiness),
    listen(peers, settings.listen.peers),
    ...(settings.metricsPort > 0
      ? [listen(metricsPage, `${settings.instance.ip}:${settings.metricsPort}`)]
      : []),
  ]);
  log.write('lifecycle', undefined, { event: 'started', id: self.id, ...settings.listen });

  let registration: Registration | undefined;
  const serveOnce = beliefs.changes.subscribe((change) => {
    if (change.kind !== 'configuration' || phase.value !== 'starting') return;
    phase.next('serving');
    queueMicrotask(() => serveOnce.unsubscribe());
    registration = startRegistration({
      store,
      beliefs,
      self,
      now,
      report: (event, detail) => log.write('registration', undefined, { event, detail }),
    });
  });

  return {
    beliefs,
    metrics,
    reload: (changed) => {
      settings = changed;
      log.write('lifecycle', undefined, { event: 'settings reloaded' });
    },
    stop: async () => {
      const graceMs = settings.bounds.graceSeconds * MS_PER_SECOND;
      await stopGracefully({ phase, registration, connections, graceMs, log, now });
      follower.stop();
      [server, directory, readiness, peers, metricsPage].forEach((each) => {
        each.close();
        each.closeAllConnections();
      });
      store.close();
    },
  };
};
