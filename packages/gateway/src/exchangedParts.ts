/** Creates the parts that rest on what instances say of themselves, and starts the exchange. */
import type { Subscription } from 'rxjs';
import type { Registration } from '@cardamomladder/fleet';
import type { Components } from './components';
import { startAliveStatements } from './lifecycle/aliveStatements';
import { exchangePaces } from './pace/exchangePaces';
import { startExchange } from './peers/exchange';
import { FairShares } from './requests/fairShares';
import { appliesTo } from './scope';
import type { TargetRegistry } from './targets/registry';

/** Creates the division of contended services' slots; off where the settings do not ask for it. */
export const createFairShares = (
  { settings, self, clusterState, bulletin, metrics, log, now }: Components,
  registry: TargetRegistry,
): FairShares => {
  const fairShares = new FairShares({
    self: self.id,
    bulletin,
    applies: (service) =>
      appliesTo(settings().fairness.scope, registry.forService(service).statesPace),
    metrics,
    log,
    now,
  });
  clusterState.changes.subscribe((change) => {
    if (change.kind === 'configuration')
      fairShares.setCustomers(change.configuration.customers ?? []);
  });
  return fairShares;
};

/** Starts the exchange; the instances that the directory advertises answer callers, and are asked. */
export const startPeerExchange = (
  components: Components,
  registry: TargetRegistry,
  registration: () => Registration | undefined,
  fairShares: FairShares,
): Subscription => {
  const { settings, self, bulletin, pace, log, now } = components;
  const { scope, intervalMs } = settings().exchange;
  const alive = startAliveStatements(components, registration);
  const sayPaces = exchangePaces({ bulletin, registry, now });
  const rounds = startExchange({
    bulletin,
    self,
    intervalMs,
    enabled: () => appliesTo(scope, pace.stated),
    serving: alive.serving,
    beforeRound: () => {
      alive.say();
      sayPaces();
      fairShares.state();
    },
    log,
  });
  rounds.add(alive.subscription);
  return rounds;
};
