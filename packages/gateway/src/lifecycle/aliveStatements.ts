/** Connects the live instances of one instance with the exchange. */
import type { Subscription } from 'rxjs';
import type { InstanceEntry, Registration } from '@cardamomladder/fleet';
import type { InstanceSettings } from '@cardamomladder/settings';
import type { Components } from '../components';
import { appliesTo } from '../scope';
import { selectAdvertised } from './advertisedInstances';
import type { AliveContent } from './aliveSection';
import { ALIVE, aliveContent } from './aliveSection';

/** The parts of the shared components that are used here. */
export type AliveComponents = Pick<
  Components,
  | 'self'
  | 'pace'
  | 'clusterState'
  | 'live'
  | 'bulletin'
  | 'run'
  | 'phase'
  | 'ready'
  | 'ownEntry'
  | 'log'
> & { settings: () => Pick<InstanceSettings, 'liveInstances'> };

/** What the exchange needs of the running statements. */
export interface AliveStatements {
  /** Updates what this instance says of itself. */
  say: () => void;
  /** The instances that are asked in the exchange; contains this one while it serves callers or has something to say. */
  serving: () => InstanceEntry[];
  subscription: Subscription;
}

/** Starts saying that this instance serves callers, and hearing it of the others. */
export const startAliveStatements = (
  components: AliveComponents,
  registration: () => Pick<Registration, 'isConfirmed'> | undefined,
): AliveStatements => {
  const { settings, self, clusterState, live, bulletin, phase, ready, ownEntry, run, pace, log } =
    components;
  const enabled = () => appliesTo(settings().liveInstances.scope, pace.stated);
  const isRegistered = () =>
    clusterState.instances.has(self.id) && (registration()?.isConfirmed() ?? true);
  let own: AliveContent | undefined;
  const say = (): void => {
    own = enabled()
      ? aliveContent({
          phase: phase.value,
          ready: ready(),
          registered: isRegistered(),
          run,
          entry: ownEntry(),
          others: [...live.instances.values()].filter(({ id }) => id !== self.id),
        })
      : undefined;
    bulletin.say(ALIVE, own);
  };
  bulletin.register(ALIVE);
  live.keptChanges.subscribe(({ id, event }) =>
    log.write('exchange', undefined, { event: `instance ${event}`, id }),
  );
  const ownStatement = () => (own ? [{ id: self.id, content: own, ageMs: 0 }] : []);
  const subscription = live.follow({
    enabled,
    stated: () => [...bulletin.read(ALIVE), ...ownStatement()],
    heard: bulletin.changes,
  });
  subscription.add(phase.subscribe(say));
  return {
    say,
    serving: () => {
      const advertised = selectAdvertised([...live.instances.values()]);
      const isLeaving = own?.state === 'leaving' && !advertised.some(({ id }) => id === self.id);
      return isLeaving ? [...advertised, self] : advertised;
    },
    subscription,
  };
};
