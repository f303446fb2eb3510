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

/** Partitions of instances from all targets: how connections behave, and at which instances. */
export const PARTITION_KINDS = [
  'partition-hang-one',
  'partition-reset-one',
  'partition-new-hang-one',
  'partition-hang-all-but-one',
  'partition-reset-all-but-one',
  'partition-new-hang-all-but-one',
  'partition-reset-all',
] as const;

/** Links of little bandwidth, over which a large configuration is read. */
export const NARROW_LINK_KINDS = ['store-path-narrow'] as const;

/** Targets that are slow for seconds and state it. */
export const SLOW_TARGET_KINDS = ['target-states-pace'] as const;

/** Callers that leave before they are answered, instances that are late, and bytes without end. */
export const LEAVING_KINDS = [
  'callers-leave',
  'instance-late',
  'target-sends-without-end',
  'caller-sends-without-end',
] as const;

/** Callers that write before they have read, and stops of all instances in series. */
export const WRITING_AHEAD_KINDS = ['callers-write-ahead', 'instances-stopped-in-series'] as const;

/** Bodies in small chunks, of sound targets and callers. */
export const SMALL_CHUNK_KINDS = [
  'targets-answer-in-small-chunks',
  'callers-upload-in-small-chunks',
] as const;

/** Answers without a length, some of them broken off, to callers that check every byte. */
export const UNFRAMED_KINDS = ['targets-answer-without-length'] as const;

/** Work that grows and differs by object, stops of several instances at once, and of ones that have just started. */
export const STOP_KINDS = [
  'work-grows',
  'instances-stopped-together',
  'instance-stopped-when-young',
] as const;

export interface PlannedFault {
  kind: (
    | typeof FAULT_KINDS
    | typeof PARTITION_KINDS
    | typeof NARROW_LINK_KINDS
    | typeof SLOW_TARGET_KINDS
    | typeof LEAVING_KINDS
    | typeof WRITING_AHEAD_KINDS
    | typeof SMALL_CHUNK_KINDS
    | typeof UNFRAMED_KINDS
    | typeof STOP_KINDS
  )[number];
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

/** Separates the partitions of a seed from its other faults, whose plan stays as it is. */
const PARTITION_SEED_OFFSET = 1_000_003;
const MAX_PARTITIONS = 4;
const MIN_PARTITION_MS = 1500;
const MAX_PARTITION_MS = 4500;
const MAX_GAP_MS = 2500;

/** Returns the partitions of a seed: up to four in series, some of them right after another. */
export const planPartitions = (seed: number, totalMs: number): PlannedFault[] => {
  const random = seededRandom(seed + PARTITION_SEED_OFFSET);
  const count = Math.floor(random() * (MAX_PARTITIONS + 1));
  const plan: PlannedFault[] = [];
  let atMs = random() * MAX_GAP_MS;
  while (plan.length < count && atMs + MIN_PARTITION_MS < totalMs) {
    const kind = PARTITION_KINDS[Math.floor(random() * PARTITION_KINDS.length)];
    const drawnMs = MIN_PARTITION_MS + random() * (MAX_PARTITION_MS - MIN_PARTITION_MS);
    const forMs = Math.min(drawnMs, totalMs - atMs);
    plan.push({ kind, atMs, forMs, which: random() });
    atMs += forMs + Math.max(0, random() * 2 - 1) * MAX_GAP_MS;
  }
  return plan;
};

/** Separates the narrow links of a seed from its other faults, whose plan stays as it is. */
const NARROW_LINK_SEED_OFFSET = 2_000_003;
/** Spreads neighbouring seeds over all integers (Knuth). */
const SEED_MULTIPLIER = 2_654_435_761;
const MAX_NARROW_LINKS = 2;

/** Returns the narrow links of a seed: up to two, which may overlap. */
export const planNarrowLinks = (seed: number, totalMs: number): PlannedFault[] => {
  // The generator's first numbers hardly differ between neighbouring seeds.
  const random = seededRandom(Math.imul(seed + NARROW_LINK_SEED_OFFSET, SEED_MULTIPLIER));
  const count = Math.floor(random() * (MAX_NARROW_LINKS + 1));
  return Array.from({ length: count }, () => {
    const forMs = MIN_PARTITION_MS + random() * (MAX_PARTITION_MS - MIN_PARTITION_MS);
    const kind = NARROW_LINK_KINDS[Math.floor(random() * NARROW_LINK_KINDS.length)];
    return { kind, atMs: random() * (totalMs - forMs), forMs, which: random() };
  }).sort((a, b) => a.atMs - b.atMs);
};

/** Separates the slow targets of a seed from its other faults, whose plan stays as it is. */
const SLOW_TARGET_SEED_OFFSET = 2_000_003;
const MAX_SLOW_TARGETS = 4;
const MIN_SLOW_MS = 2000;
const MAX_SLOW_MS = 6000;

/** Returns the slow targets of a seed: up to four, which may overlap. */
export const planSlowTargets = (seed: number, totalMs: number): PlannedFault[] => {
  const random = seededRandom(seed + SLOW_TARGET_SEED_OFFSET);
  const count = Math.floor(random() * (MAX_SLOW_TARGETS + 1));
  return Array.from({ length: count }, (): PlannedFault => {
    const atMs = random() * (totalMs - MIN_SLOW_MS);
    const forMs = MIN_SLOW_MS + random() * (MAX_SLOW_MS - MIN_SLOW_MS);
    const kind = SLOW_TARGET_KINDS[0];
    return { kind, atMs, forMs: Math.min(forMs, totalMs - atMs), which: random() };
  }).sort((a, b) => a.atMs - b.atMs);
};

/** Separates the callers that leave of a seed from its other faults, whose plan stays as it is. */
const LEAVING_SEED_OFFSET = 3_000_017;
const MIN_LEAVING = 6;
const MAX_LEAVING = 16;

/** Returns callers that leave, late instances and bytes without end of a seed; many overlap. */
export const planLeavingCallers = (seed: number, totalMs: number): PlannedFault[] => {
  const random = seededRandom(Math.imul(seed + LEAVING_SEED_OFFSET, SEED_MULTIPLIER));
  const count = MIN_LEAVING + Math.floor(random() * (MAX_LEAVING - MIN_LEAVING + 1));
  return Array.from({ length: count }, (): PlannedFault => {
    // Half of them are callers that leave, so that these overlap with all others.
    const kind =
      random() < 0.5
        ? 'callers-leave'
        : LEAVING_KINDS[1 + Math.floor(random() * (LEAVING_KINDS.length - 1))];
    const forMs = MIN_DURATION_MS + random() * (MAX_DURATION_MS - MIN_DURATION_MS);
    return { kind, atMs: random() * (totalMs - forMs), forMs, which: random() };
  }).sort((a, b) => a.atMs - b.atMs);
};

/** Separates the callers that write ahead of a seed from its other faults, whose plan stays as it is. */
const WRITING_AHEAD_SEED_OFFSET = 4_000_037;
const MIN_WRITING_AHEAD = 2;
const MAX_WRITING_AHEAD = 4;
const MIN_WRITING_AHEAD_MS = 2000;
const MAX_WRITING_AHEAD_MS = 6000;
/** Time that a stop of all instances in series takes at most, ms. */
const SERIES_MS = 9000;

/** Returns callers that write before they have read, and, in half of the seeds, stops of all instances in series beside them. */
export const planWritingAhead = (seed: number, totalMs: number): PlannedFault[] => {
  const random = seededRandom(Math.imul(seed + WRITING_AHEAD_SEED_OFFSET, SEED_MULTIPLIER));
  const count =
    MIN_WRITING_AHEAD + Math.floor(random() * (MAX_WRITING_AHEAD - MIN_WRITING_AHEAD + 1));
  const hasSeries = random() < 0.5;
  const callers = Array.from({ length: count }, (): PlannedFault => {
    const forMs = MIN_WRITING_AHEAD_MS + random() * (MAX_WRITING_AHEAD_MS - MIN_WRITING_AHEAD_MS);
    const atMs = random() * (totalMs - forMs);
    return { kind: 'callers-write-ahead', atMs, forMs, which: random() };
  });
  const series: PlannedFault = {
    kind: 'instances-stopped-in-series',
    atMs: random() * (totalMs - SERIES_MS),
    forMs: 100 + random() * 900,
    which: random(),
  };
  return [...callers, ...(hasSeries ? [series] : [])].sort((a, b) => a.atMs - b.atMs);
};

type Range = readonly [min: number, max: number];

/** Draws faults; `seedOffset` separates them from a seed's others, whose plan stays as it is. */
const planDrawn =
  (kinds: readonly PlannedFault['kind'][], seedOffset: number, counts: Range, forMsRange: Range) =>
  (seed: number, totalMs: number): PlannedFault[] => {
    const random = seededRandom(Math.imul(seed + seedOffset, SEED_MULTIPLIER));
    const [min, max] = counts;
    const [minMs, maxMs] = forMsRange;
    const count = min + Math.floor(random() * (max - min + 1));
    return Array.from({ length: count }, (): PlannedFault => {
      const kind = kinds[Math.floor(random() * kinds.length)];
      const forMs = minMs + random() * (maxMs - minMs);
      return { kind, atMs: random() * (totalMs - forMs), forMs, which: random() };
    }).sort((a, b) => a.atMs - b.atMs);
  };

const SMALL_CHUNK_MS: Range = [MIN_DURATION_MS, MAX_DURATION_MS];
const UNFRAMED_MS: Range = [MIN_PARTITION_MS, MAX_PARTITION_MS];

/** Returns the times of a seed at which bodies come in small chunks; they may overlap. */
export const planSmallChunks = planDrawn(SMALL_CHUNK_KINDS, 5_000_011, [3, 6], SMALL_CHUNK_MS);

/** Returns the times of a seed at which targets send answers without a length; they may overlap. */
export const planUnframedAnswers = planDrawn(UNFRAMED_KINDS, 6_000_011, [1, 3], UNFRAMED_MS);

const STOP_MS: Range = [MIN_WRITING_AHEAD_MS, MAX_WRITING_AHEAD_MS];
/** Callers that pipeline are drawn with the stops, and work that grows twice as often as each. */
const DRAWN_WITH_STOPS = ['work-grows', 'callers-write-ahead', ...STOP_KINDS] as const;

/** Returns the stops of a seed that go together with work that grows and callers that pipeline; they may overlap. */
export const planStops = planDrawn(DRAWN_WITH_STOPS, 7_000_003, [4, 7], STOP_MS);
