/**
 * The steering state of one service at one entry: its targets as the member
 * list and the targets' own answers describe them, and the split of traffic
 * between regions, which follows the operators' shares under the shift cap
 * and moves away from regions short of headroom.
 */
import type { FailureDomainName, RegionName, TargetId } from '@cardamomladder/types';
import type { ServiceSpec } from '@cardamomladder/document';
import type { Staleness, TargetLoad } from './headroom';
import { DEFAULT_STALENESS, busySlots, headroom } from './headroom';
import type { Split } from './shares';
import { moveToward, normalize, restrict, scheduled } from './shares';

/** One target as an entry sees it. `load` is updated in place as answers arrive. */
export interface TargetView {
  id: TargetId;
  region: RegionName;
  failureDomain: FailureDomainName;
  address: string;
  slots: number;
  /** The member list or the target itself said it is leaving. */
  leaving: boolean;
  /** When this entry first saw the target: the start of its warm-up. */
  firstSeen: number;
  /** Not chosen before this time (ms since epoch): it refused a connection or work. */
  avoidUntil: number;
  load: TargetLoad;
}

/** The outcome of a choice: a target, or a refusal to send anything. */
export type Choice =
  | { kind: 'target'; target: TargetView }
  | { kind: 'refused'; reason: 'no-target' | 'region-full'; retryAfterMs: number };

/** Region reserves from the document: headroom a region keeps spare. */
export type Reserves = ReadonlyMap<RegionName, number>;

/** How long a caller should wait before asking again when everything is full. */
const FULL_RETRY_AFTER_MS = 1000;
/** How long to wait when no target exists: the member list needs time to catch up. */
const NO_TARGET_RETRY_AFTER_MS = 5000;
/** Weight of a target that has just arrived, before its caches warm. */
const COLD_WEIGHT = 0.1;

const weightedPick = (split: Split, random: () => number): RegionName | undefined => {
  let roll = random();
  let last: RegionName | undefined;
  for (const [region, share] of split) {
    last = region;
    roll -= share;
    if (roll < 0) return region;
  }
  return last;
};

/** Steering of one service: split between regions and choice of target. */
export class ServiceSteering {
  readonly targets = new Map<TargetId, TargetView>();

  private spec: ServiceSpec;

  private reserves: Reserves;

  private split: Split = new Map();

  private lastTick: number | undefined;

  /** Admissible targets per region as of the last tick; see `sample`. */
  private byRegion = new Map<RegionName, TargetView[]>();

  constructor(
    spec: ServiceSpec,
    reserves: Reserves,
    private readonly staleness: Staleness = DEFAULT_STALENESS,
  ) {
    this.spec = spec;
    this.reserves = reserves;
  }

  /** Takes a new document's view of this service. */
  setSpec(spec: ServiceSpec, reserves: Reserves): void {
    this.spec = spec;
    this.reserves = reserves;
  }

  /** The service's settings now in force. */
  get settings(): ServiceSpec {
    return this.spec;
  }

  /** The current split between regions. */
  get currentSplit(): Split {
    return this.split;
  }

  /** Whether the target may be given new work at `now`. */
  admissible(target: TargetView, now: number): boolean {
    return !target.leaving && target.avoidUntil <= now;
  }

  /** Spare fraction of each region's slots among its admissible targets. */
  headroomByRegion(now: number): Map<RegionName, number> {
    const byRegion = new Map<RegionName, TargetLoad[]>();
    this.targets.forEach((t) => {
      if (!this.admissible(t, now)) return;
      byRegion.set(t.region, [...(byRegion.get(t.region) ?? []), t.load]);
    });
    return new Map([...byRegion].map(([r, loads]) => [r, headroom(loads, now, this.staleness)]));
  }

  /**
   * The operators' shares as the planned-shift schedule places them at
   * `now`, without regions that have no admissible target. Every entry with
   * the same document and members computes the same split.
   */
  scheduledSplit(now: number): Split {
    const to = normalize(new Map(Object.entries(this.spec.shares) as [RegionName, number][]));
    const { shift } = this.spec;
    const base = shift
      ? scheduled(
          normalize(new Map(Object.entries(shift.from) as [RegionName, number][])),
          to,
          shift.startedAt,
          this.spec.maxShiftPerMinute,
          now,
        )
      : to;
    return restrict(base, new Set(this.headroomByRegion(now).keys()));
  }

  /**
   * The split the entry steers toward at `now`: the scheduled split, with
   * regions short of their reserve scaled down while another region has
   * spare room.
   */
  desired(now: number): Split {
    const room = this.headroomByRegion(now);
    const live = this.scheduledSplit(now);
    const reserve = (r: RegionName) => this.reserves.get(r) ?? 0.15;
    const short = [...live.keys()].filter((r) => (room.get(r) ?? 0) < reserve(r));
    const spare = [...live.keys()].some((r) => (room.get(r) ?? 0) > reserve(r));
    if (short.length === 0 || !spare) return live;
    return normalize(
      new Map(
        [...live].map(([r, share]) => {
          const h = room.get(r) ?? 0;
          return [r, h < reserve(r) ? share * Math.max(0.05, h / reserve(r)) : share];
        }),
      ),
    );
  }

  /**
   * Advances the split to `now`. Each entry moves its own traffic by at most
   * `maxShiftPerMinute` of it per minute, so the fleet's traffic, a sum of
   * the entries', moves by at most the same fraction whatever each entry
   * sees. The one exception is a region with no admissible target left: its
   * share goes at once, since holding it would only fail requests.
   */
  tick(now: number): void {
    const desired = this.desired(now);
    if (this.lastTick === undefined || this.split.size === 0) {
      // A starting entry takes the schedule, not its own headroom view:
      // an entry restarted (220 a day at letter-1 size) must not move its
      // callers' traffic past the cap by starting somewhere else.
      this.split = this.scheduledSplit(now);
    } else {
      const step = (this.spec.maxShiftPerMinute * Math.max(0, now - this.lastTick)) / 60_000;
      const alive = restrict(this.split, new Set(desired.keys()));
      this.split = moveToward(alive, desired, step);
    }
    this.lastTick = now;
    this.byRegion = new Map();
    this.targets.forEach((t) => {
      if (!this.admissible(t, now)) return;
      const list = this.byRegion.get(t.region);
      if (list) list.push(t);
      else this.byRegion.set(t.region, [t]);
    });
  }

  /**
   * First attempts take this path: two candidates drawn from the region's
   * admissible targets as of the last tick, each checked again now (it may
   * have started to leave, been dropped, or filled up since). Undefined
   * sends the caller to the full scan, which is exact.
   */
  private sample(now: number, random: () => number): TargetView | undefined {
    const region = weightedPick(this.split, random);
    const pool = region === undefined ? undefined : this.byRegion.get(region);
    if (!pool || pool.length === 0) return undefined;
    const usable = (t: TargetView) =>
      this.targets.get(t.id) === t &&
      this.admissible(t, now) &&
      busySlots(t.load, now, this.staleness) < t.slots;
    const a = pool[Math.floor(random() * pool.length)];
    const b = pool[Math.floor(random() * pool.length)];
    if (!usable(a) || !usable(b)) return undefined;
    return this.score(a, now) <= this.score(b, now) ? a : b;
  }

  /** Chooses a target for one attempt; `exclude` holds targets already tried for this request. */
  choose(now: number, random: () => number, exclude: ReadonlySet<TargetId> = new Set()): Choice {
    if (this.lastTick === undefined || this.split.size === 0) this.tick(now);
    if (exclude.size === 0) {
      const fast = this.sample(now, random);
      if (fast) return { kind: 'target', target: fast };
    }
    const open = [...this.targets.values()].filter(
      (t) => this.admissible(t, now) && !exclude.has(t.id),
    );
    if (open.length === 0)
      return { kind: 'refused', reason: 'no-target', retryAfterMs: NO_TARGET_RETRY_AFTER_MS };
    const firstAttempt = exclude.size === 0;
    // A region whose last target just left keeps its share until the next
    // tick; picking it would refuse a request that another region can take.
    const region = weightedPick(restrict(this.split, new Set(open.map((t) => t.region))), random);
    // A retry may leave the region: the first attempt already failed there,
    // and a retry is one request, not a shift of traffic.
    const pool = firstAttempt ? open.filter((t) => t.region === region) : open;
    const free = pool.filter((t) => busySlots(t.load, now, this.staleness) < t.slots);
    if (free.length === 0) {
      return {
        kind: 'refused',
        reason: pool.length === 0 ? 'no-target' : 'region-full',
        retryAfterMs: FULL_RETRY_AFTER_MS,
      };
    }
    const a = free[Math.floor(random() * free.length)];
    const b = free[Math.floor(random() * free.length)];
    return { kind: 'target', target: this.score(a, now) <= this.score(b, now) ? a : b };
  }

  /** Lower is better: busy share of the slots, with cold targets weighted down while they warm. */
  private score(target: TargetView, now: number): number {
    const warmupMs = this.spec.warmupSeconds * 1000;
    const warm =
      warmupMs === 0
        ? 1
        : Math.min(1, COLD_WEIGHT + ((1 - COLD_WEIGHT) * (now - target.firstSeen)) / warmupMs);
    return (busySlots(target.load, now, this.staleness) + 1) / (target.slots * warm);
  }
}
