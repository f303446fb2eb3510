/** Builds one gateway instance and runs it from startup to graceful shutdown. */
import type { ClusterState, Store } from '@cardamomladder/fleet';
import type { InstanceSettings } from '@cardamomladder/settings';
import type { GatewayMetrics, LineWriter } from '@cardamomladder/telemetry';
import { monitorLoopDelay } from './lifecycle/loopDelay';
import { startMemberCleanup } from './lifecycle/memberCleanup';
import { stopGracefully } from './lifecycle/stop';
import { startListeners } from './listeners';
import { createComponents, registerWhenConfigured, startStoreFollower } from './components';
import type { WireProtocol } from './wireProtocol';

const MS_PER_SECOND = 1000;

/** Inputs for starting an instance. */
export interface GatewayOptions {
  settings: InstanceSettings;
  store: Store;
  wire: WireProtocol;
  logWriter?: LineWriter;
}

/** A running instance. */
export interface Gateway {
  clusterState: ClusterState;
  metrics: GatewayMetrics;
  /** Applies changed settings, except those that need a restart. */
  reload: (settings: InstanceSettings) => void;
  /** Graceful shutdown after a signal that arrived at `signalledAt` (monotonic clock, ms); resolves once no work is in progress. */
  stop: (signalledAt: number) => Promise<void>;
}

/** Starts an instance and resolves once it listens. It becomes ready when it has a configuration. */
export const startGateway = async (options: GatewayOptions): Promise<Gateway> => {
  const { store, wire, logWriter } = options;
  let { settings } = options;
  const components = createComponents(() => settings, store, wire);
  const { clusterState, metrics, phase, plannedEnd, log, now, self, crashReports } = components;
  // Subscribes before the store follower starts, so that the first configuration is not missed.
  const registration = registerWhenConfigured(components);
  const follower = startStoreFollower(components);
  const linesDropped = () => logWriter?.dropped() ?? 0;
  const listeners = await startListeners(components, follower, registration, linesDropped);
  const stopLoopMonitor = monitorLoopDelay(components);
  const memberCleanup = startMemberCleanup({ store, clusterState, self: self.id, log, now });
  log.write('lifecycle', undefined, { event: 'started', id: self.id, ...settings.listen });

  return {
    clusterState,
    metrics,
    reload: (changed) => {
      settings = changed;
      log.write('lifecycle', undefined, { event: 'settings reloaded' });
    },
    stop: async (signalledAt) => {
      const graceMs = settings.bounds.graceSeconds * MS_PER_SECOND;
      const { connections } = listeners;
      await stopGracefully({
        phase,
        plannedEnd,
        signalledAt,
        registration: registration(),
        connections,
        closeConnections: (ms) => listeners.close(ms),
        graceMs,
        metrics,
        log,
        now,
      });
      stopLoopMonitor();
      memberCleanup.unsubscribe();
      follower.stop();
      crashReports.stop();
      store.close();
    },
  };
};
