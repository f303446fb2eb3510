/** Where requests come from: the parts of regions and of failure domains. */
import type { FailureDomainName, RegionName } from '@cardamomladder/types';
import { failureDomainName, regionName } from '@cardamomladder/types';

/** Each region's part of all requests: callers stand in every failure domain alike. */
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

/** Each failure domain's part of its region's requests. */
export const demandByDomain = (
  domains: Readonly<Record<string, string>>,
  region: RegionName,
): Map<FailureDomainName, number> =>
  new Map(
    Object.entries(domains)
      .filter(([, name]) => name === region)
      .map(([domain]) => [failureDomainName(domain), 1]),
  );
