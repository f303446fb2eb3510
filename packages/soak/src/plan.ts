/** Fault plans drawn from a seed: kind, start, duration and affected component of each fault. */
import { seededRandom } from '@cardamomladder/load';

export const FAULT_KINDS = [
  'instance-paused',
  'instance-killed',
  'instances-killed-together',
  'instance-stopped',
  'instance-reloaded',
  'store-path-delayed',
  'store-path-silent',
  'store-path-one-way',
  'store-path-reset',
  'store-path-old-silent',
  'store-busy',
  'store-slow',
  'store-over-its-rate',
  'store-loses-answers',
  'store-forgets',
  'store-pauses-leases',
  'target-path-delayed',
  'target-path-silent',
  'target-path-reset',
  'target-path-old-silent',
  'target-crashes',
  'target-leaves',
  'target-slow',
  'target-refuses',
  'target-loses-answers',
  'target-sends-extra',
  'target-names-limit',
  'target-says-it-leaves',
  'target-asks-for-pause',
  'configuration-changes',
  'domain-evacuated',
  'store-restored',
] as const;

export interface PlannedFault {
  kind: (typeof FAULT_KINDS)[number];
  atMs: number;
  forMs: number;
  /** From 0 to 1: selects one of the components that the fault can affect. */
  which: number;
}

/** Mean time between the starts of two faults, ms; usually two or three faults overlap. */
const MEAN_INTERVAL_MS = 700;
const MIN_DURATION_MS = 300;
const MAX_DURATION_MS = 3000;
/** Probability that a fault repeats the kind of the previous one, because faults often come in series. */
const REPEAT_PROBABILITY = 0.2;

/** Returns the faults of a seed in the order of their starts; all end by `totalMs`. */
export const planFaults = (seed: number, totalMs: number): PlannedFault[] => {
  const random = seededRandom(seed);
  const plan: PlannedFault[] = [];
  let at = random() * MEAN_INTERVAL_MS;
  while (at < totalMs - MIN_DURATION_MS) {
    const previous = plan.at(-1);
    const repeatsPrevious = previous && random() < REPEAT_PROBABILITY;
    const kind = repeatsPrevious
      ? previous.kind
      : FAULT_KINDS[Math.floor(random() * FAULT_KINDS.length)];
    const durationMs = MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS);
    plan.push({ kind, atMs: at, forMs: Math.min(durationMs, totalMs - at), which: random() });
    at += -Math.log(1 - random()) * MEAN_INTERVAL_MS;
  }
  return plan;
};
