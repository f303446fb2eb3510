/** Writes a line for each change of what the instance believes. */
import type { BeliefChange, Beliefs } from '@cardamomladder/fleet';
import type { LogFields } from '@cardamomladder/telemetry';
import type { DecisionLog } from './decisionLog';

/** Keys named in a line; a large fleet's store may lack hundreds. */
const KEYS_SHOWN = 10;

const fieldsOf = (change: BeliefChange): LogFields => {
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
        missing: change.missing.slice(0, KEYS_SHOWN),
        missingCount: change.missing.length,
        outdated: change.outdated.slice(0, KEYS_SHOWN).map(({ key }) => key),
        outdatedCount: change.outdated.length,
      };
    default:
      return { ...change };
  }
};

/** Logs every change of belief from now on. */
export const logBeliefs = (beliefs: Beliefs, log: DecisionLog): void => {
  beliefs.changes.subscribe((change) =>
    log.write('belief', undefined, { ...fieldsOf(change), change: change.kind }),
  );
};
