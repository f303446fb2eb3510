/**
 * Selects the instances that the directory advertises to a caller: those of its
 * failure domain, or of its region if the domain has none, or else all; of
 * these, only the high-capacity ones. Candidates are instances with a current
 * registry entry, peers that were seen directly, and this instance while it
 * serves. Instances that reach no target are left out while another one reaches some;
 * they serve callers that hold their address through a peer, at the cost of a second
 * hop.
 *
 * Low-capacity instances are left out because of failure domains with two
 * high-capacity instances and a dozen low-capacity ones. Callers choose an address
 * at random, so a low-capacity instance would receive as many requests as a
 * high-capacity one, and a 90 kB response takes 72 ms on its 10 Mbit/s link. Also,
 * if requests are spread over many instances, each one receives too few responses
 * from a target to estimate its load and response time.
 */
import type { InstanceEntry } from '@cardamomladder/fleet';
import { highCapacityInstances } from '@cardamomladder/fleet';
import type { SocketAddress } from '@cardamomladder/types';
import type { DirectoryQuery } from '../wireProtocol';

/** Maximum number of addresses in one response. */
const MAX_ADDRESSES = 64;

/** Returns the addresses of the instances nearest to the caller. */
export const nearestInstances = (
  instances: readonly InstanceEntry[],
  query: DirectoryQuery,
): SocketAddress[] => {
  const reachingTargets = instances.filter(({ cutOff }) => !cutOff);
  const candidates = reachingTargets.length > 0 ? reachingTargets : [...instances];
  const inDomain = candidates.filter((i) => i.failureDomain === query.failureDomain);
  const inRegion = candidates.filter((i) => i.region === query.region);
  const chosen = [inDomain, inRegion, candidates].find((group) => group.length > 0) ?? [];
  return highCapacityInstances(chosen)
    .slice(0, MAX_ADDRESSES)
    .map((i) => i.callerAddress);
};
