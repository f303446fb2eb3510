/** Logs each change to the instance's view of the fleet state. */
import type { ClusterStateChange, ClusterState } from '@cardamomladder/fleet';
import type { LogFields } from '@cardamomladder/telemetry';
import type { DecisionLog } from './decisionLog';

/** Maximum number of keys listed in one log line; after a restore, a large fleet's store may lack hundreds. */
const MAX_KEYS_LOGGED = 10;

const logFieldsOf = (change: ClusterStateChange): LogFields => {
  switch (change.kind) {
    case 'configuration':
      return {
        version: change.configuration.version,
        routes: change.configuration.routes.length,
        services: change.configuration.services.length,
      };
    case 'target':
      return { ...change.target, revision: change.revision };
    case 'instance':
      return { id: change.instance.id, revision: change.revision };
    case 'restored':
      return {
        epoch: change.epoch,
        revision: change.revision,
        followed: change.followed,
        missing: change.missing.slice(0, MAX_KEYS_LOGGED),
        missingCount: change.missing.length,
        outdated: change.outdated.slice(0, MAX_KEYS_LOGGED).map(({ key }) => key),
        outdatedCount: change.outdated.length,
      };
    default:
      return { ...change };
  }
};

/** Subscribes to state changes and logs each one. */
export const logStateChanges = (clusterState: ClusterState, log: DecisionLog): void => {
  clusterState.changes.subscribe((change) =>
    log.write('belief', undefined, { ...logFieldsOf(change), change: change.kind }),
  );
};
