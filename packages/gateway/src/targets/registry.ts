/**
 * The targets this instance may send to: what the registry says of them, what
 * their answers taught, and their connections. Follows beliefs.
 */
import type { Beliefs, BeliefChange, TargetEntry } from '@cardamomladder/fleet';
import type { Configuration, Service } from '@cardamomladder/routing';
import type { LimitShare, PlacedTarget, ServicePool, Sharers } from '@cardamomladder/steering';
import {
  HelpAbroad,
  LongestAnswer,
  Rankings,
  ReportFade,
  UsualPriority,
  coldShare,
  limitShare,
  newTarget,
} from '@cardamomladder/steering';
import type {
  FailureDomainName,
  InstanceId,
  RegionName,
  ServiceName,
  TargetId,
} from '@cardamomladder/types';
import { regionName, splitAddress } from '@cardamomladder/types';
import type { FleetMembers } from '../lifecycle/fleetMembers';
import type { NamedInstances } from '../lifecycle/namedInstances';
import { TargetConnections } from './connections';
import { IdleLimit } from './idleLimit';
import { ShareCache } from './shareCache';
import { ExpiredTargets } from './expiredTargets';
import { demandByRegion, demandByDomain } from './regionDemand';
import { compareRuns } from './runs';

/** A target with its connections and address. */
export interface ReachableTarget {
  placed: PlacedTarget;
  host: string;
  port: number;
  /** Its connections, made at the first use: most instances send to few of the targets that they know. */
  connections: () => TargetConnections;
  /** What it last said of itself. */
  entry: TargetEntry;
}

/** A service's pool, its remembered rankings, and what its targets taught together. */
export interface ServiceTargets {
  pool: ServicePool;
  rankings: Rankings;
  idleLimit: IdleLimit;
  reportFade: ReportFade;
  usualPriority: UsualPriority;
  /** The longest answer times of late, for objects that the target was sent before and for those new to it. */
  longest: { cached: LongestAnswer; uncached: LongestAnswer };
}

/** What the registry needs of the instance. */
export interface TargetRegistryOptions {
  beliefs: Beliefs;
  ownRegion: RegionName;
  ownDomain: FailureDomainName;
  self: InstanceId;
  /** Region of each failure domain. */
  domains: Readonly<Record<string, string>>;
  fleet: FleetMembers;
  /** The instances that callers are sent to, which share the targets' limits. */
  named: Pick<NamedInstances, 'holders'>;
  coldOverage: number;
  coldSlack: number;
  now: () => number;
}

/** Connections to one target that one instance may open when the configuration names no limit. */
const DEFAULT_MAX_CONNECTIONS = 64;
/** Smallest share of a target's connections one instance keeps for itself. */
const MIN_CONNECTIONS = 4;

/** All targets by service. */
export class TargetRegistry {
  private readonly targets = new Map<TargetId, ReachableTarget>();

  private readonly connectionsById = new Map<TargetId, TargetConnections>();

  private readonly pools = new Map<ServiceName, ServiceTargets>();

  private readonly services = new Map<ServiceName, Service>();

  private readonly coldShares: ShareCache<readonly InstanceId[], number>;

  private readonly limitShares: ShareCache<Sharers, LimitShare>;

  private readonly expiredTargets: ExpiredTargets;

  private readonly demand: ReadonlyMap<RegionName, number>;

  /** When each failure domain's last evacuation ended. */
  private readonly evacuationEnded = new Map<FailureDomainName, number>();

  constructor(private readonly options: TargetRegistryOptions) {
    this.demand = demandByRegion(options.domains);
    this.expiredTargets = new ExpiredTargets(options.now);
    this.coldShares = new ShareCache(
      () => options.fleet.list(),
      (id, fleet, allowance) => coldShare(id, options.self, fleet, allowance),
    );
    this.limitShares = new ShareCache(
      () => options.named.holders(),
      (id, sharers, perSecond) => limitShare(id, options.self, sharers, perSecond),
    );
    options.beliefs.changes.subscribe((change) => this.applyChange(change));
  }

  /** The pool of a service; empty when no target is known. */
  forService(service: ServiceName): ServiceTargets {
    const existing = this.pools.get(service);
    if (existing) return existing;
    const { beliefs, domains, ownDomain, ownRegion } = this.options;
    const created: ServiceTargets = {
      rankings: new Rankings(),
      idleLimit: new IdleLimit(),
      reportFade: new ReportFade(() => created.pool.targets.length),
      usualPriority: new UsualPriority(),
      longest: { cached: new LongestAnswer(), uncached: new LongestAnswer() },
      pool: {
        targets: [],
        generation: 0,
        ownRegion,
        ownDomain,
        demand: this.demand,
        domainDemand: demandByDomain(domains, ownRegion),
        helpAbroad: new HelpAbroad(),
        evacuated: (failureDomain) => beliefs.evacuated.has(failureDomain),
        coldShare: (target) => this.coldShareOf(target),
        limitShare: ({ id }, perSecond) => this.limitShares.get(id, perSecond),
      },
    };
    this.pools.set(service, created);
    return created;
  }

  /** A target with its connections, if it is still known. */
  get(id: TargetId): ReachableTarget | undefined {
    return this.targets.get(id);
  }

  /** Takes it that a target says it leaves; true if it had not said so before. */
  markLeaving(target: PlacedTarget): boolean {
    if (target.selfReport.leaving) return false;
    target.selfReport.leaving = true;
    this.updatePool(target.service, (targets) => [...targets]);
    return true;
  }

  /** How many targets are known. */
  get size(): number {
    return this.targets.size;
  }

  /** How many targets name a limit. */
  get limited(): number {
    return [...this.targets.values()].filter(
      ({ placed }) => placed.selfReport.limit.perSecond !== undefined,
    ).length;
  }

  private coldShareOf(target: PlacedTarget): number {
    const { coldOverage, coldSlack } = this.options;
    const service = this.services.get(target.service);
    const allowance = (service?.coldRequestsPerSecond ?? 0) * coldOverage + coldSlack;
    return this.coldShares.get(target.id, allowance);
  }

  private applyChange(change: BeliefChange): void {
    if (change.kind === 'target') this.applyEntry(change.target);
    if (change.kind === 'target-gone') this.expire(change.id);
    if (change.kind === 'configuration') this.applyServices(change.configuration);
    if (change.kind === 'evacuation') {
      this.pools.forEach(({ pool }) => Object.assign(pool, { generation: pool.generation + 1 }));
      if (!change.active) this.endEvacuation(change.failureDomain);
    }
  }

  private applyServices(configuration: Configuration): void {
    this.services.clear();
    configuration.services.forEach((service) => this.services.set(service.name, service));
  }

  /**
   * Targets that got nothing for a while have lost their warm memory, and
   * their own report of it can come a heartbeat later than the end of the
   * evacuation; sending at full rate meanwhile would crash them.
   */
  private endEvacuation(failureDomain: FailureDomainName): void {
    const at = this.options.now();
    this.evacuationEnded.set(failureDomain, at);
    this.targets.forEach((target) => {
      if (target.placed.failureDomain !== failureDomain) return;
      const coldMs = this.services.get(target.placed.service)?.coldMs ?? 0;
      target.placed.coldUntil = Math.max(target.placed.coldUntil, at + coldMs);
    });
  }

  private applyEntry(entry: TargetEntry): void {
    const existing = this.targets.get(entry.id);
    const run = compareRuns(existing?.entry, entry);
    if (run === 'earlier' || !this.options.domains[entry.failureDomain]) return;
    // A target that started again under its id remembers nothing, and what was
    // learned of its earlier run (full, failing, leaving, loaded) is void.
    if (run === 'later') this.remove(entry.id);
    const target = this.targets.get(entry.id) ?? this.add(entry);
    target.entry = entry;
    const { placed } = target;
    if (entry.leaving && !placed.leaving) {
      placed.leaving = true;
      this.updatePool(entry.service, (targets) => [...targets]);
    }
    if (entry.coldForMs > 0)
      placed.coldUntil = Math.max(placed.coldUntil, this.options.now() + entry.coldForMs);
    if (entry.coldForMs === 0 && !this.evacuationEnded.has(entry.failureDomain))
      placed.coldUntil = Math.min(placed.coldUntil, this.options.now());
  }

  private add(entry: TargetEntry): ReachableTarget {
    const region = this.options.domains[entry.failureDomain] ?? '';
    const placed = newTarget(
      {
        id: entry.id,
        service: entry.service,
        address: entry.address,
        failureDomain: entry.failureDomain,
        region: regionName(region),
        slots: entry.slots,
      },
      this.forService(entry.service).reportFade,
    );
    const expired = this.expiredTargets.take(entry);
    if (expired) placed.selfReport = expired;
    const target: ReachableTarget = {
      placed,
      entry,
      ...splitAddress(entry.address),
      connections: () => this.connectionsTo(entry),
    };
    this.targets.set(entry.id, target);
    this.updatePool(entry.service, (targets) => [...targets, placed]);
    return target;
  }

  private expire(id: TargetId): void {
    const target = this.targets.get(id);
    if (target) {
      const { entry, placed } = target;
      // An older copy of the store may bring back an entry from before it left.
      if (entry.leaving) placed.selfReport.leaving = true;
      this.expiredTargets.add(entry, placed.selfReport);
    }
    this.remove(id);
  }

  private remove(id: TargetId): void {
    const target = this.targets.get(id);
    if (!target) return;
    target.placed.leaving = true;
    this.targets.delete(id);
    this.updatePool(target.placed.service, (targets) => targets.filter((t) => t.id !== id));
    this.connectionsById.get(id)?.closeIdleLongerThan(0);
    this.connectionsById.delete(id);
    this.coldShares.delete(id);
    this.limitShares.delete(id);
  }

  private connectionsTo({ id, service }: TargetEntry): TargetConnections {
    const existing = this.connectionsById.get(id);
    if (existing) return existing;
    const configuredMax = this.services.get(service)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    const instances = Math.max(1, this.options.beliefs.instances.size);
    const created = new TargetConnections(
      Math.max(MIN_CONNECTIONS, Math.floor(configuredMax / instances)),
      this.options.now,
      this.forService(service).idleLimit,
    );
    this.connectionsById.set(id, created);
    return created;
  }

  private updatePool(
    service: ServiceName,
    change: (targets: readonly PlacedTarget[]) => PlacedTarget[],
  ): void {
    const { pool } = this.forService(service);
    pool.targets = change(pool.targets);
    pool.generation += 1;
  }
}
