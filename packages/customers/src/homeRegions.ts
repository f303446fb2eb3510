/** Regions in which a request may run when both its route and its customer define home regions. */
import type { RegionName } from '@cardamomladder/types';

/** Regions allowed by two lists: empty means any region, `nowhere` means that the lists have none in common. */
export type HomeRegionIntersection = readonly RegionName[] | 'nowhere';

/** Returns the regions that both lists allow; an empty list allows every region. */
export const intersectHomeRegions = (
  first: readonly RegionName[],
  second: readonly RegionName[],
): HomeRegionIntersection => {
  if (first.length === 0) return second;
  if (second.length === 0) return first;
  const common = first.filter((region) => second.includes(region));
  return common.length > 0 ? common : 'nowhere';
};
