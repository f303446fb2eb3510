/** Creates the reach monitor and the forwarding peers of one instance. */
import { first, skip } from 'rxjs';
import type { ServiceName } from '@cardamomladder/types';
import { splitAddress } from '@cardamomladder/types';
import type { Components } from '../components';
import { knownInstances } from '../peers/recentPeers';
import type { TargetRegistry } from '../targets/registry';
import { ForwardingPeers } from './forwardingPeers';
import type { ProbedTarget } from './probe';
import { probeTargets } from './probe';
import { leavesNone, selectProbedTargets } from './probedTargets';
import { ReachMonitor } from './reachMonitor';

/** Creates the monitor; it first probes targets when the first configuration arrives. */
export const createReachMonitor = (
  { clusterState, cutOff, metrics, log, now }: Components,
  registry: TargetRegistry,
): ReachMonitor => {
  const healthPathOf = (service: ServiceName): string =>
    clusterState.configuration?.services.find(({ name }) => name === service)?.healthPath ?? '/';
  const probedTargets = (): ProbedTarget[] =>
    selectProbedTargets(registry.servicePools, now(), Math.random).map(({ address, service }) => ({
      ...splitAddress(address),
      healthPath: healthPathOf(service),
    }));
  const reach = new ReachMonitor({
    probe: () => probeTargets(probedTargets(), now),
    leavesNone: (failed) => registry.servicePools.some((pool) => leavesNone(pool, failed)),
    cutOff,
    now,
    log: (event, detail) => log.write('reach', undefined, { event, ...detail }),
  });
  metrics.targetsReachable.set(1);
  cutOff.pipe(skip(1)).subscribe((isCutOff) => {
    metrics.targetsReachable.set(isCutOff ? 0 : 1);
    if (!isCutOff) registry.disregardFailures();
  });
  clusterState.changes
    .pipe(first(({ kind }) => kind === 'configuration'))
    // The targets of the same list are applied after the configuration.
    .subscribe(() => setImmediate(() => reach.verifyAtStart()));
  return reach;
};

/** Creates the selection of peers; a peer's connections are dropped when it is no longer live. */
export const createForwardingPeers = ({
  live,
  recentPeers,
  self,
  now,
}: Components): ForwardingPeers => {
  const peers = new ForwardingPeers({
    self,
    known: () => knownInstances(live, recentPeers).values(),
    now,
    random: Math.random,
  });
  live.changes.subscribe((change) => {
    if (change.kind === 'instance-gone') peers.remove(change.id);
  });
  return peers;
};
