/** Seeded plans: which fault begins when, for how long, and on which of several. */
import { seeded } from '@cardamomladder/load';

/** Every kind of fault that a soak injects. */
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

/** One planned fault. */
export interface PlannedFault {
  kind: (typeof FAULT_KINDS)[number];
  atMs: number;
  forMs: number;
  /** From 0 to 1: which of the things that can have it. */
  which: number;
}

/** Mean time between the starts of two faults, ms: two or three overlap at most times. */
const BETWEEN_MS = 700;
const SHORTEST_MS = 300;
const LONGEST_MS = 3000;
/** Part of the faults that follow another of their kind at once: faults come in series. */
const SERIES_PART = 0.2;

/** The faults of a seed, in order, all over by `lengthMs`. */
export const planFaults = (seed: number, lengthMs: number): PlannedFault[] => {
  const random = seeded(seed);
  const plan: PlannedFault[] = [];
  let at = random() * BETWEEN_MS;
  while (at < lengthMs - SHORTEST_MS) {
    const before = plan.at(-1);
    const series = before && random() < SERIES_PART;
    const kind = series ? before.kind : FAULT_KINDS[Math.floor(random() * FAULT_KINDS.length)];
    const wanted = SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS);
    plan.push({ kind, atMs: at, forMs: Math.min(wanted, lengthMs - at), which: random() });
    at += -Math.log(1 - random()) * BETWEEN_MS;
  }
  return plan;
};
