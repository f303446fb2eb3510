/**
 * The targets that this instance may send to: their registry entries, the state
 * derived from their responses, and their connections. Follows the changes of
 * the known records.
 */
import type { ClusterState, ClusterStateChange, TargetEntry } from '@cardamomladder/fleet';
import type { Configuration, Service } from '@cardamomladder/routing';
import type {
  LimitShare,
  TargetState,
  ServicePool,
  SharingInstances,
} from '@cardamomladder/steering';
import { coldShare, disregardFailures, limitShare, newTarget } from '@cardamomladder/steering';
import type {
  FailureDomainName,
  InstanceId,
  RegionName,
  ServiceName,
  TargetId,
} from '@cardamomladder/types';
import { regionName, splitAddress } from '@cardamomladder/types';
import type { FleetMembers } from '../lifecycle/fleetMembers';
import type { AdvertisedInstances } from '../lifecycle/advertisedInstances';
import { TargetConnections } from './connections';
import type { ReachableTarget, ServiceTargets } from './reachableTarget';
import { RecentlyRemovedTargets } from './recentlyRemovedTargets';
import { demandByDomain, demandByRegion } from './regionDemand';
import { compareRuns } from './runs';
import type { ServiceConditions } from './serviceTargets';
import { createServiceTargets } from './serviceTargets';
import { ShareCache } from './shareCache';

export type { ReachableTarget, ServiceTargets } from './reachableTarget';

/** Dependencies and settings of the registry. */
export interface TargetRegistryOptions {
  clusterState: ClusterState;
  ownRegion: RegionName;
  ownDomain: FailureDomainName;
  self: InstanceId;
  /** Region of each failure domain. */
  regionByDomain: Readonly<Record<string, string>>;
  fleet: FleetMembers;
  /** The instances to which callers are directed, which share the targets' limits. */
  advertised: Pick<AdvertisedInstances, 'sharers'>;
  coldOverage: number;
  coldSlack: number;
  /** What the ejection of slow targets depends on. */
  pace: Pick<ServiceConditions, 'pace' | 'onEjectionChange' | 'onPassedOver'>;
  now: () => number;
}

/** Maximum connections to a target from all instances together, if the configuration sets no limit. */
const DEFAULT_MAX_CONNECTIONS = 64;
/** Minimum number of connections to a target that each instance may open. */
const MIN_CONNECTIONS = 4;

/** All targets by service. */
export class TargetRegistry {
  private readonly targets = new Map<TargetId, ReachableTarget>();

  private readonly connectionsById = new Map<TargetId, TargetConnections>();

  private readonly pools = new Map<ServiceName, ServiceTargets>();

  private readonly configured = new Map<ServiceName, Service>();

  private readonly coldShares: ShareCache<readonly InstanceId[], number>;

  private readonly limitShares: ShareCache<SharingInstances, LimitShare>;

  private readonly recentlyRemoved: RecentlyRemovedTargets;

  private readonly demand: ReadonlyMap<RegionName, number>;

  /** When each failure domain's last evacuation ended. */
  private readonly evacuationEnded = new Map<FailureDomainName, number>();

  constructor(private readonly options: TargetRegistryOptions) {
    this.demand = demandByRegion(options.regionByDomain);
    this.recentlyRemoved = new RecentlyRemovedTargets(options.now);
    this.coldShares = new ShareCache(
      () => options.fleet.list(),
      (id, fleet, allowance) => coldShare(id, options.self, fleet, allowance),
    );
    this.limitShares = new ShareCache(
      () => options.advertised.sharers(),
      (id, sharers, perSecond) => limitShare(id, options.self, sharers, perSecond),
    );
    options.clusterState.changes.subscribe((change) => this.applyChange(change));
  }

  /** A service's pool and shared state; the pool is empty if no target is known. */
  forService(service: ServiceName): ServiceTargets {
    const existing = this.pools.get(service);
    if (existing) return existing;
    const { clusterState, regionByDomain, ownDomain, ownRegion, pace } = this.options;
    const created = createServiceTargets({
      ownRegion,
      ownDomain,
      demand: this.demand,
      domainDemand: demandByDomain(regionByDomain, ownRegion),
      evacuated: (failureDomain) => clusterState.evacuated.has(failureDomain),
      coldShare: (target) => this.coldShareOf(target),
      limitShare: ({ id }, perSecond) => this.limitShares.get(id, perSecond),
      ...pace,
    });
    this.pools.set(service, created);
    return created;
  }

  /** A target by id, if it is still known. */
  get(id: TargetId): ReachableTarget | undefined {
    return this.targets.get(id);
  }

  /** Discards what failed sends seemed to show of the targets while this instance was cut off from all of them. */
  disregardFailures(): void {
    this.targets.forEach(({ placed, entry }) => {
      disregardFailures(placed);
      this.connectionsById.get(entry.id)?.closeIdleLongerThan(0);
    });
  }

  /** The state of all services with known targets. */
  get services(): ServiceTargets[] {
    return [...this.pools.values()];
  }

  /** Their pools. */
  get servicePools(): ServicePool[] {
    return this.services.map(({ pool }) => pool);
  }

  /** Records a target's report that it is leaving; true if it is the first one. */
  markLeaving(target: TargetState): boolean {
    if (target.selfReport.leaving) return false;
    target.selfReport.leaving = true;
    this.updatePool(target.service, (targets) => [...targets]);
    return true;
  }

  /** True once a target of any service has stated its pace. */
  get statesPace(): boolean {
    return this.services.some(({ statesPace }) => statesPace);
  }

  /** Number of known targets. */
  get size(): number {
    return this.targets.size;
  }

  /** Number of targets that currently report a rate limit. */
  get limitedCount(): number {
    return [...this.targets.values()].filter(
      ({ placed }) => placed.selfReport.limit.perSecond !== undefined,
    ).length;
  }

  private coldShareOf(target: TargetState): number {
    const { coldOverage, coldSlack } = this.options;
    const service = this.configured.get(target.service);
    const allowance = (service?.coldRequestsPerSecond ?? 0) * coldOverage + coldSlack;
    return this.coldShares.get(target.id, allowance);
  }

  private applyChange(change: ClusterStateChange): void {
    if (change.kind === 'target') this.applyEntry(change.target);
    if (change.kind === 'target-gone') this.removeEntry(change.id);
    if (change.kind === 'configuration') this.applyServices(change.configuration);
    if (change.kind === 'evacuation') {
      this.pools.forEach(({ pool }) => Object.assign(pool, { generation: pool.generation + 1 }));
      if (!change.active) this.endEvacuation(change.failureDomain);
    }
  }

  private applyServices(configuration: Configuration): void {
    this.configured.clear();
    configuration.services.forEach((service) => this.configured.set(service.name, service));
  }

  /**
   * Treats the domain's targets as cold: without requests they have lost their
   * caches, and their own report of it may arrive one heartbeat after the end of
   * the evacuation. Sending at the full rate until then would crash them.
   */
  private endEvacuation(failureDomain: FailureDomainName): void {
    const at = this.options.now();
    this.evacuationEnded.set(failureDomain, at);
    this.targets.forEach((target) => {
      if (target.placed.failureDomain !== failureDomain) return;
      const coldMs = this.configured.get(target.placed.service)?.coldMs ?? 0;
      target.placed.coldUntil = Math.max(target.placed.coldUntil, at + coldMs);
    });
  }

  private applyEntry(entry: TargetEntry): void {
    const existing = this.targets.get(entry.id);
    const run = compareRuns(existing?.entry, entry);
    if (run === 'earlier' || !this.options.regionByDomain[entry.failureDomain]) return;
    // A target that restarted with the same id has an empty cache, and the state
    // of its earlier run (full, failing, leaving, load) is obsolete.
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
    const region = this.options.regionByDomain[entry.failureDomain] ?? '';
    const placed = newTarget(
      {
        id: entry.id,
        service: entry.service,
        address: entry.address,
        failureDomain: entry.failureDomain,
        region: regionName(region),
        slots: entry.slots,
      },
      this.forService(entry.service).reportStaleness,
    );
    Object.assign(placed, this.recentlyRemoved.take(entry));
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

  private removeEntry(id: TargetId): void {
    const target = this.targets.get(id);
    if (target) {
      const { entry, placed } = target;
      // A store restored from an older copy may bring back an entry from before the target was leaving.
      if (entry.leaving) placed.selfReport.leaving = true;
      this.recentlyRemoved.add(entry, placed);
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
    this.forService(target.placed.service).pace.forget(id);
  }

  private connectionsTo({ id, service }: TargetEntry): TargetConnections {
    const existing = this.connectionsById.get(id);
    if (existing) return existing;
    const configuredMax = this.configured.get(service)?.maxConnections ?? DEFAULT_MAX_CONNECTIONS;
    const instances = Math.max(1, this.options.fleet.list().length);
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
    change: (targets: readonly TargetState[]) => TargetState[],
  ): void {
    const { pool } = this.forService(service);
    pool.targets = change(pool.targets);
    pool.generation += 1;
  }
}
