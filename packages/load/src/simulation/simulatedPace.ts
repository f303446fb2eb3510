/** The ejection of slow targets by simulated instances: their reports, probes and exchange. */
import type { TargetState } from '@cardamomladder/steering';
import { ServicePace, atUsualPace, costRatio, lateAfterMs } from '@cardamomladder/steering';
import type { EventQueue } from './eventQueue';
import type { SimulatedInstance } from './simulatedInstances';

/** What instances know paces from: nothing, own reports, also own probes, also what others have found. */
export type PaceSources = 'off' | 'reports' | 'probes' | 'exchange';

/** Time from a probe to its answer beside two trips, ms. */
const PROBE_MS = 5;
const PROBE_INTERVAL_MS = 1000;
const EXCHANGE_INTERVAL_MS = 250;
/** Time until a statement has reached all instances, ms: three rounds. */
const EXCHANGE_DELAY_MS = 750;
const MAX_EJECTED_SHARE = 1 / 3;

/** Options of the simulated ejection. */
export interface SimulatedPaceOptions {
  sources: PaceSources;
  instances: readonly SimulatedInstance[];
  events: EventQueue;
  /** The pace that a target states now. */
  paceOf: (target: TargetState) => number | undefined;
  oneWayMs: (instance: SimulatedInstance, target: TargetState) => number;
  onEjection?: (target: string, event: 'ejected' | 'back', atMs: number) => void;
}

/** The ejection of all instances. */
export interface SimulatedPaces {
  /** Begins a send; returns a function that ends it with the pace that the response states. */
  startSend: (
    instance: SimulatedInstance,
    target: TargetState,
    likelyCached: boolean,
  ) => (pace?: number) => void;
  /** Returns how long a response takes at the usual pace, ms. */
  usualMs: (target: TargetState, ms: number, pace: number | undefined) => number;
  /** Number of probes sent so far. */
  probes: () => number;
}

/** Connects instances' pools with the ejection. */
export const simulatedPaces = (options: SimulatedPaceOptions): SimulatedPaces => {
  const { sources, instances, events, paceOf, oneWayMs, onEjection } = options;
  if (sources === 'off')
    return { startSend: () => () => {}, usualMs: (_, ms) => ms, probes: () => 0 };
  let probeCount = 0;
  const paces = new Map(
    instances.map(({ pool, longestAnswers }, i) => {
      const { remembered, first } = longestAnswers;
      const pace = new ServicePace({
        enabled: () => true,
        carrying: () => pool.targets,
        maxEjectedShare: () => MAX_EJECTED_SHARE,
        ratio: (now) => costRatio(remembered.estimateAt(now), first.estimateAt(now)),
        onChange: ({ event, ejection }) => i === 0 && onEjection?.(ejection.id, event, events.now),
      });
      return [instances[i], pace] as const;
    }),
  );
  const paceAt = (instance: SimulatedInstance) => paces.get(instance) as ServicePace;
  const probedAt = new Map<string, number>();
  const ask = (instance: SimulatedInstance, target: TargetState): void => {
    const key = `${instances.indexOf(instance)}|${target.id}`;
    if (events.now - (probedAt.get(key) ?? -Infinity) < PROBE_INTERVAL_MS) return;
    probedAt.set(key, events.now);
    probeCount += 1;
    const delayMs = oneWayMs(instance, target);
    events.after(delayMs + PROBE_MS, () => {
      const stated = paceOf(target);
      events.after(delayMs, () => paceAt(instance).report(target.id, stated, 'probe', events.now));
    });
  };
  instances.forEach((instance) => {
    const pace = paceAt(instance);
    Object.assign(instance.pool, {
      ejected: ({ id }: TargetState, now: number) => pace.ejectionOf(id, now) !== undefined,
      onPassedOver: (target: TargetState) => {
        if (sources !== 'reports' && pace.isFindingOld(target.id, events.now))
          ask(instance, target);
      },
      slotsOf: (target: TargetState, now: number) => pace.slotsOf(target, now),
    });
  });
  const exchange = (): void => {
    const stated = instances.map((instance) => ({
      instance,
      findings: paceAt(instance).ownFindings(events.now),
    }));
    events.after(EXCHANGE_DELAY_MS, () =>
      instances.forEach((hearer) => {
        const others = stated.filter(({ instance }) => instance !== hearer);
        paceAt(hearer).hear(others.flatMap(({ findings }) => findings));
      }),
    );
    events.after(EXCHANGE_INTERVAL_MS, exchange);
  };
  if (sources === 'exchange') exchange();
  return {
    startSend: (instance, target, likelyCached) => {
      const pace = paceAt(instance);
      let isPending = true;
      const { responseMs, slots } = target;
      if (sources !== 'reports' && responseMs !== undefined) {
        const perSlot = target.load.requestsAt(events.now) / slots;
        const ratio = pace.ratioAt(events.now);
        const lateMs = lateAfterMs({ usualMs: responseMs, ratio, likelyCached, perSlot });
        events.after(lateMs, () => isPending && ask(instance, target));
      }
      return (stated) => {
        isPending = false;
        pace.report(target.id, stated, 'response', events.now);
      };
    },
    usualMs: (target, ms, pace) => atUsualPace(ms, pace, target.responseMs),
    probes: () => probeCount,
  };
};
