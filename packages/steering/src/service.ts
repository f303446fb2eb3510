/**
 * Steering state of one service at one entry: its targets, as described by the
 * member list and by the targets' own responses, and the traffic split between
 * regions. The split follows the configured shares at a limited rate and moves
 * away from regions whose headroom is below their reserve.
 */
import type { FailureDomainName, RegionName, TargetId } from '@cardamomladder/types';
import type { ServiceSpec } from '@cardamomladder/document';
import type { StalenessLimits, TargetLoad } from './headroom';
import { DEFAULT_STALENESS_LIMITS, estimateBusySlots, headroom } from './headroom';
import type { Split } from './shares';
import { moveToward, normalizeWeights, restrictToRegions, scheduledSplitAt } from './shares';

/** State of one target at an entry. `load` is updated in place as responses arrive. */
export interface TargetView {
  id: TargetId;
  region: RegionName;
  failureDomain: FailureDomainName;
  address: string;
  slots: number;
  /** The member list or the target itself reported that it is shutting down. */
  leaving: boolean;
  /** When this entry discovered the target (Unix time, ms): the start of its warm-up. */
  firstSeen: number;
  /** Not eligible before this time (Unix time, ms), after a failed connection or an attempt without a response. */
  avoidUntil: number;
  load: TargetLoad;
}

/** Result of target selection: a target, or why the request cannot be sent. */
export type TargetChoice =
  | { kind: 'target'; target: TargetView }
  | { kind: 'refused'; reason: 'no-target' | 'region-full'; retryAfterMs: number };

/** Reserve per region from the document: the fraction of slots to keep free. */
export type RegionReserves = ReadonlyMap<RegionName, number>;

/** Retry delay for callers when all slots of the region are in use. */
const REGION_FULL_RETRY_AFTER_MS = 1000;
/** Retry delay when no target is eligible: the member list needs time to update. */
const ENTRY_NO_TARGET_RETRY_AFTER_MS = 5000;
/** Initial weight of a new target, before its caches are warm. */
const COLD_TARGET_WEIGHT = 0.1;

const pickWeightedRegion = (split: Split, random: () => number): RegionName | undefined => {
  let remaining = random();
  let lastRegion: RegionName | undefined;
  for (const [region, share] of split) {
    lastRegion = region;
    remaining -= share;
    if (remaining < 0) return region;
  }
  return lastRegion;
};

/** Steers one service: maintains the split between regions and selects targets. */
export class ServiceSteering {
  readonly targets = new Map<TargetId, TargetView>();

  private spec: ServiceSpec;

  private reserves: RegionReserves;

  private split: Split = new Map();

  private lastTick: number | undefined;

  /** Eligible targets per region as of the last tick; see `sampleTwo`. */
  private eligibleByRegion = new Map<RegionName, TargetView[]>();

  constructor(
    spec: ServiceSpec,
    reserves: RegionReserves,
    private readonly staleness: StalenessLimits = DEFAULT_STALENESS_LIMITS,
  ) {
    this.spec = spec;
    this.reserves = reserves;
  }

  /** Applies this service's part of a new document. */
  setSpec(spec: ServiceSpec, reserves: RegionReserves): void {
    this.spec = spec;
    this.reserves = reserves;
  }

  /** The settings in effect. */
  get settings(): ServiceSpec {
    return this.spec;
  }

  get currentSplit(): Split {
    return this.split;
  }

  /** Whether the target may receive new requests at `now`. */
  isEligible(target: TargetView, now: number): boolean {
    return !target.leaving && target.avoidUntil <= now;
  }

  /** Headroom per region, over the eligible targets. Regions without one are absent. */
  headroomByRegion(now: number): Map<RegionName, number> {
    const loadsByRegion = new Map<RegionName, TargetLoad[]>();
    this.targets.forEach((t) => {
      if (!this.isEligible(t, now)) return;
      loadsByRegion.set(t.region, [...(loadsByRegion.get(t.region) ?? []), t.load]);
    });
    return new Map(
      [...loadsByRegion].map(([r, loads]) => [r, headroom(loads, now, this.staleness)]),
    );
  }

  /**
   * The configured split at `now`, including the progress of a planned shift,
   * without regions that have no eligible target. Every entry with the same
   * document and the same eligible targets computes the same split.
   */
  scheduledSplit(now: number): Split {
    const to = normalizeWeights(
      new Map(Object.entries(this.spec.shares) as [RegionName, number][]),
    );
    const { shift } = this.spec;
    const base = shift
      ? scheduledSplitAt(
          normalizeWeights(new Map(Object.entries(shift.from) as [RegionName, number][])),
          to,
          shift.startedAt,
          this.spec.maxShiftPerMinute,
          now,
        )
      : to;
    return restrictToRegions(base, new Set(this.headroomByRegion(now).keys()));
  }

  /**
   * The split to move toward at `now`: the scheduled split, with regions whose
   * headroom is below their reserve scaled down as long as another region has
   * headroom above its reserve.
   */
  desiredSplit(now: number): Split {
    const headrooms = this.headroomByRegion(now);
    const scheduledShares = this.scheduledSplit(now);
    const reserve = (r: RegionName) => this.reserves.get(r) ?? 0.15;
    const shortRegions = [...scheduledShares.keys()].filter(
      (r) => (headrooms.get(r) ?? 0) < reserve(r),
    );
    const hasSpareHeadroom = [...scheduledShares.keys()].some(
      (r) => (headrooms.get(r) ?? 0) > reserve(r),
    );
    if (shortRegions.length === 0 || !hasSpareHeadroom) return scheduledShares;
    return normalizeWeights(
      new Map(
        [...scheduledShares].map(([r, share]) => {
          const available = headrooms.get(r) ?? 0;
          return [
            r,
            available < reserve(r) ? share * Math.max(0.05, available / reserve(r)) : share,
          ];
        }),
      ),
    );
  }

  /**
   * Advances the split to `now`. Each entry shifts at most `maxShiftPerMinute`
   * of its own traffic per minute. The fleet's traffic is the sum over the
   * entries, so it shifts by at most the same fraction even if the entries know
   * different targets. The one exception is a region with no eligible target:
   * its share moves at once, because keeping it would only fail requests.
   */
  tick(now: number): void {
    const desired = this.desiredSplit(now);
    if (this.lastTick === undefined || this.split.size === 0) {
      // Start from the schedule, not from this entry's own view of the headroom:
      // a restart (220 per day at the fleet size in docs/CAPACITY.md) must not
      // shift the callers' traffic faster than `maxShiftPerMinute`.
      this.split = this.scheduledSplit(now);
    } else {
      const maxStep = (this.spec.maxShiftPerMinute * Math.max(0, now - this.lastTick)) / 60_000;
      const eligibleSplit = restrictToRegions(this.split, new Set(desired.keys()));
      this.split = moveToward(eligibleSplit, desired, maxStep);
    }
    this.lastTick = now;
    this.eligibleByRegion = new Map();
    this.targets.forEach((t) => {
      if (!this.isEligible(t, now)) return;
      const list = this.eligibleByRegion.get(t.region);
      if (list) list.push(t);
      else this.eligibleByRegion.set(t.region, [t]);
    });
  }

  /**
   * Fast path for first attempts: picks the better of two random targets from
   * the region's eligible targets as of the last tick ("power of two choices").
   * Both are checked again, since a target may have started to leave, been
   * removed or filled up after the tick. Returns undefined if either check
   * fails; `choose` then scans all targets.
   */
  private sampleTwo(now: number, random: () => number): TargetView | undefined {
    const region = pickWeightedRegion(this.split, random);
    const pool = region === undefined ? undefined : this.eligibleByRegion.get(region);
    if (!pool || pool.length === 0) return undefined;
    const isUsable = (t: TargetView) =>
      this.targets.get(t.id) === t &&
      this.isEligible(t, now) &&
      estimateBusySlots(t.load, now, this.staleness) < t.slots;
    const a = pool[Math.floor(random() * pool.length)];
    const b = pool[Math.floor(random() * pool.length)];
    if (!isUsable(a) || !isUsable(b)) return undefined;
    return this.loadScore(a, now) <= this.loadScore(b, now) ? a : b;
  }

  /** Selects a target for one attempt; `exclude` holds the targets already tried for this request. */
  choose(
    now: number,
    random: () => number,
    exclude: ReadonlySet<TargetId> = new Set(),
  ): TargetChoice {
    if (this.lastTick === undefined || this.split.size === 0) this.tick(now);
    if (exclude.size === 0) {
      const sampled = this.sampleTwo(now, random);
      if (sampled) return { kind: 'target', target: sampled };
    }
    const eligible = [...this.targets.values()].filter(
      (t) => this.isEligible(t, now) && !exclude.has(t.id),
    );
    if (eligible.length === 0)
      return { kind: 'refused', reason: 'no-target', retryAfterMs: ENTRY_NO_TARGET_RETRY_AFTER_MS };
    const firstAttempt = exclude.size === 0;
    // A region that lost its last target keeps its share until the next tick;
    // picking it would reject a request that another region can serve.
    const region = pickWeightedRegion(
      restrictToRegions(this.split, new Set(eligible.map((t) => t.region))),
      random,
    );
    // A retry may go to any region: the first attempt already failed in this
    // one, and a single request does not count as a traffic shift.
    const pool = firstAttempt ? eligible.filter((t) => t.region === region) : eligible;
    const withFreeSlots = pool.filter(
      (t) => estimateBusySlots(t.load, now, this.staleness) < t.slots,
    );
    if (withFreeSlots.length === 0) {
      return {
        kind: 'refused',
        reason: pool.length === 0 ? 'no-target' : 'region-full',
        retryAfterMs: REGION_FULL_RETRY_AFTER_MS,
      };
    }
    const a = withFreeSlots[Math.floor(random() * withFreeSlots.length)];
    const b = withFreeSlots[Math.floor(random() * withFreeSlots.length)];
    return { kind: 'target', target: this.loadScore(a, now) <= this.loadScore(b, now) ? a : b };
  }

  /** Busy fraction of the slots (lower is better), raised for targets that are still warming up. */
  private loadScore(target: TargetView, now: number): number {
    const warmupMs = this.spec.warmupSeconds * 1000;
    const warmup =
      warmupMs === 0
        ? 1
        : Math.min(
            1,
            COLD_TARGET_WEIGHT + ((1 - COLD_TARGET_WEIGHT) * (now - target.firstSeen)) / warmupMs,
          );
    return (estimateBusySlots(target.load, now, this.staleness) + 1) / (target.slots * warmup);
  }
}
