/** Instances in virtual time, each with its own view of all targets. */
import type { PlacedTarget, ServicePool, TargetFacts } from '@cardamomladder/steering';
import {
  HelpAbroad,
  LongestAnswer,
  Rankings,
  ReportFade,
  limitShare,
  newTarget,
} from '@cardamomladder/steering';
import { failureDomainName, instanceId, regionName } from '@cardamomladder/types';

const DEFAULT_INSTANCES = 3;

/** One instance. */
export interface PlayedInstance {
  region: string;
  pool: ServicePool;
  rankings: Rankings;
  longest: { remembered: LongestAnswer; first: LongestAnswer };
}

/** One instance's view of all targets. */
const targetsOf = (facts: readonly TargetFacts[]): PlacedTarget[] => {
  const fade = new ReportFade(() => facts.length);
  return facts.map((each) => newTarget(each, fade));
};

/** The instances of all regions; each region is one failure domain. */
export const playedInstances = (
  facts: readonly TargetFacts[],
  regions: readonly string[],
  perRegion = DEFAULT_INSTANCES,
): PlayedInstance[] => {
  const demand = new Map(regions.map((region) => [regionName(region), 1]));
  const places = regions.flatMap((region) =>
    Array.from({ length: perRegion }, (_, i) => ({
      region,
      name: instanceId(`${region}-instance-${i}`),
    })),
  );
  const sharers = { ids: places.map(({ name }) => name), size: places.length };
  return places.map(({ region, name }) => ({
    region,
    rankings: new Rankings(),
    longest: { remembered: new LongestAnswer(), first: new LongestAnswer() },
    pool: {
      targets: targetsOf(facts),
      generation: 1,
      ownRegion: regionName(region),
      ownDomain: failureDomainName(region),
      demand,
      domainDemand: new Map([[failureDomainName(region), 1]]),
      helpAbroad: new HelpAbroad(),
      evacuated: () => false,
      coldShare: () => 1,
      limitShare: ({ id }, perSecond) => limitShare(id, name, sharers, perSecond),
    },
  }));
};
