/** Relative demand of regions and failure domains, that is, where requests come from. */
import type { FailureDomainName, RegionName } from '@cardamomladder/types';
import { failureDomainName, regionName } from '@cardamomladder/types';

/** Relative demand by region, assuming the same demand in each failure domain. */
export const demandByRegion = (
  domains: Readonly<Record<string, string>>,
): Map<RegionName, number> => {
  const counts = new Map<RegionName, number>();
  Object.values(domains).forEach((name) => {
    const region = regionName(name);
    counts.set(region, (counts.get(region) ?? 0) + 1);
  });
  return counts;
};

/** Relative demand by failure domain within a region. */
export const demandByDomain = (
  domains: Readonly<Record<string, string>>,
  region: RegionName,
): Map<FailureDomainName, number> =>
  new Map(
    Object.entries(domains)
      .filter(([, name]) => name === region)
      .map(([domain]) => [failureDomainName(domain), 1]),
  );
