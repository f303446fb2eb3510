import type { TargetState, ServicePool, TargetInfo } from '@cardamomladder/steering';
import {
  CrossRegionSpillover,
  PeakResponseTime,
  PriorityBaseline,
  Rankings,
  ReportStaleness,
  limitShare,
  newTarget,
} from '@cardamomladder/steering';
import { failureDomainName, instanceId, regionName } from '@cardamomladder/types';
import type { SimulatedAdmission } from './simulatedAdmission';

const DEFAULT_INSTANCES = 3;

/** A simulated instance with its own view of all targets. */
export interface SimulatedInstance {
  region: string;
  pool: ServicePool;
  rankings: Rankings;
  longestAnswers: { remembered: PeakResponseTime; first: PeakResponseTime };
  priorityBaseline: PriorityBaseline;
  /** Requests that wait here; undefined if none may. */
  admission?: SimulatedAdmission;
}

/** Creates one instance's view of all targets. */
const targetViews = (targetInfos: readonly TargetInfo[]): TargetState[] => {
  const staleness = new ReportStaleness(() => targetInfos.length);
  return targetInfos.map((each) => newTarget(each, staleness));
};

/** Creates the instances of all regions; each region is one failure domain. */
export const simulatedInstances = (
  targetInfos: readonly TargetInfo[],
  regions: readonly string[],
  perRegion = DEFAULT_INSTANCES,
): SimulatedInstance[] => {
  const demand = new Map(regions.map((region) => [regionName(region), 1]));
  const locations = regions.flatMap((region) =>
    Array.from({ length: perRegion }, (_, i) => ({
      region,
      name: instanceId(`${region}-instance-${i}`),
    })),
  );
  const sharers = { ids: locations.map(({ name }) => name), size: locations.length };
  return locations.map(({ region, name }) => ({
    region,
    rankings: new Rankings(),
    priorityBaseline: new PriorityBaseline(),
    longestAnswers: { remembered: new PeakResponseTime(), first: new PeakResponseTime() },
    pool: {
      targets: targetViews(targetInfos),
      generation: 1,
      ownRegion: regionName(region),
      ownDomain: failureDomainName(region),
      demand,
      domainDemand: new Map([[failureDomainName(region), 1]]),
      spillover: new CrossRegionSpillover(),
      evacuated: () => false,
      coldShare: () => 1,
      limitShare: ({ id }, perSecond) => limitShare(id, name, sharers, perSecond),
    },
  }));
};
