/** Connects the decisions on slow targets with the instance: settings, log, metrics and probes. */
import type { ServiceName } from '@cardamomladder/types';
import { splitAddress } from '@cardamomladder/types';
import type { Components } from '../components';
import type { ServiceConditions } from '../targets/serviceTargets';
import { PaceProbes } from './paceProbes';
import { probePace } from './probePace';

/** Creates the probes of targets at their services' health paths. */
export const createPaceProbes = ({
  clusterState,
  wire,
  metrics,
  log,
  now,
}: Components): PaceProbes => {
  const healthPathOf = (service: ServiceName): string =>
    clusterState.configuration?.services.find(({ name }) => name === service)?.healthPath ?? '/';
  return new PaceProbes({
    probe: ({ address, service }) =>
      probePace({ ...splitAddress(address), healthPath: healthPathOf(service) }, wire),
    metrics,
    log,
    now,
  });
};

/** Creates what the ejection of slow targets depends on. */
export const createPaceConditions = (
  { settings, log, now }: Components,
  probes: PaceProbes,
): Pick<ServiceConditions, 'pace' | 'onEjectionChange' | 'onPassedOver'> => ({
  pace: () => settings().pace,
  onEjectionChange: ({ event, ejection, share }) =>
    log.write('target-pace', undefined, {
      event,
      target: ejection.id,
      pace: ejection.pace,
      source: ejection.source,
      ageMs: Math.round(now() - ejection.at),
      share: Math.round(share * 100) / 100,
    }),
  // An ejected target gets no requests that could tell that it has recovered.
  onPassedOver: (target, pace) => {
    if (pace.isFindingOld(target.id, now())) probes.ask(target, pace, 'renewal');
  },
});
