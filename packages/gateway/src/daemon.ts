/** Puts one instance together and runs it from start to planned stop. */
import type { Beliefs, Store } from '@cardamomladder/fleet';
import type { InstanceSettings } from '@cardamomladder/settings';
import type { GatewayMetrics, LineWriter } from '@cardamomladder/telemetry';
import { monitorLoopDelay } from './lifecycle/loopDelay';
import { stopGracefully } from './lifecycle/stop';
import { startListeners } from './listeners';
import { buildParts, registerWhenConfigured, startFollowing } from './parts';
import type { Wire } from './wireNames';

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

/** Starts an instance; resolves once it listens. It is ready once it knows a configuration. */
export const startGateway = async (options: GatewayOptions): Promise<Gateway> => {
  const { store, wire, logWriter } = options;
  let { settings } = options;
  const parts = buildParts(() => settings, store, wire);
  const { beliefs, metrics, phase, log, now, self, crashReports } = parts;
  // Before following, so that the first configuration is not missed.
  const registration = registerWhenConfigured(parts);
  const follower = startFollowing(parts);
  const linesDropped = () => logWriter?.dropped() ?? 0;
  const listeners = await startListeners(parts, follower, linesDropped);
  const stopLoopWatch = monitorLoopDelay(parts);
  log.write('lifecycle', undefined, { event: 'started', id: self.id, ...settings.listen });

  return {
    beliefs,
    metrics,
    reload: (changed) => {
      settings = changed;
      log.write('lifecycle', undefined, { event: 'settings reloaded' });
    },
    stop: async () => {
      const graceMs = settings.bounds.graceSeconds * MS_PER_SECOND;
      const { connections } = listeners;
      await stopGracefully({
        phase,
        registration: registration(),
        connections,
        graceMs,
        log,
        now,
      });
      stopLoopWatch();
      follower.stop();
      crashReports.stop();
      listeners.close();
      store.close();
    },
  };
};
