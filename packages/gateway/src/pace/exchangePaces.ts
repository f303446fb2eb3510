/** Keeps what this instance says of slow targets, and what it has heard of them, current. */
import type { Bulletin } from '../peers/exchange';
import type { TargetRegistry } from '../targets/registry';
import { PACE_SECTION, heardPaces, statePaces } from './paceSection';

/** Dependencies of the exchange of paces. */
export interface PaceExchangeOptions {
  bulletin: Bulletin;
  registry: TargetRegistry;
  now: () => number;
}

/** Starts to take over what peers state; the returned function updates what this instance states. */
export const exchangePaces = ({ bulletin, registry, now }: PaceExchangeOptions): (() => void) => {
  bulletin.register(PACE_SECTION);
  const hear = () => {
    const heard = heardPaces(bulletin.read(PACE_SECTION), now());
    registry.services.forEach(({ pace, pool }) => {
      const ids = new Set(pool.targets.map(({ id }) => id));
      pace.hear(heard.filter(({ id }) => ids.has(id)));
    });
  };
  let isScheduled = false;
  bulletin.changes.subscribe(() => {
    if (isScheduled) return;
    isScheduled = true;
    // One message changes the statements of many instances.
    queueMicrotask(() => {
      isScheduled = false;
      hear();
    });
  });
  return () => {
    const findings = registry.services
      .filter(({ pace }) => pace.enabled)
      .flatMap(({ pace }) => pace.ownFindings(now()));
    bulletin.say(
      PACE_SECTION,
      statePaces(
        findings.sort((a, b) => b.pace - a.pace),
        now(),
      ),
    );
  };
};
