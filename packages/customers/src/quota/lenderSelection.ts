/**
 * Selects the lenders and, by rendezvous hashing, the lender of each customer.
 * All instances with the same view of the fleet select the same ones. The
 * selection depends only on the ids and regions of the instances, so it
 * survives a restart of the whole fleet.
 */
import murmurhash from 'murmurhash';
import type { CustomerName, InstanceId, RegionName } from '@cardamomladder/types';

interface Candidate {
  id: InstanceId;
  region: RegionName;
}

const lowestScored = <T>(
  candidates: readonly T[],
  scoreOf: (candidate: T) => number,
): T | undefined =>
  candidates.reduce<T | undefined>(
    (best, candidate) => (!best || scoreOf(candidate) < scoreOf(best) ? candidate : best),
    undefined,
  );

/** Selects one lender per region, so that each side of most network partitions has one. */
export const selectLenders = <T extends Candidate>(instances: readonly T[]): T[] => {
  const regions = [...new Set(instances.map(({ region }) => region))].sort();
  return regions.flatMap((region) => {
    const inRegion = instances.filter((instance) => instance.region === region);
    return lowestScored(inRegion, ({ id }) => murmurhash.v3(id)) ?? [];
  });
};

/** The lender of a customer's tokens; undefined when there is none. When a lender is lost, only its own customers move. */
export const lenderOf = <T extends { id: InstanceId }>(
  customer: CustomerName,
  lenders: readonly T[],
): T | undefined => lowestScored(lenders, ({ id }) => murmurhash.v3(`${id}|${customer}`));
