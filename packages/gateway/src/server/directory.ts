/**
 * Tells callers where to connect: the instances of their failure domain, or
 * of their region when that has none, or all. Only instances whose entry
 * lives are named, besides this one while it serves and peers that were heard
 * of directly.
 */
import type { InstanceEntry } from '@cardamomladder/fleet';
import type { SocketAddress } from '@cardamomladder/types';
import type { DirectoryQuestion } from '../wireNames';

/** Most addresses in one answer. */
const ADDRESSES_MOST = 64;

/** Instances nearest to the caller, as addresses. */
export const nearest = (
  instances: readonly InstanceEntry[],
  question: DirectoryQuestion,
): SocketAddress[] => {
  const inDomain = instances.filter((i) => i.failureDomain === question.failureDomain);
  const inRegion = instances.filter((i) => i.region === question.region);
  const chosen = [inDomain, inRegion, [...instances]].find((group) => group.length > 0) ?? [];
  return chosen.slice(0, ADDRESSES_MOST).map((i) => i.callerAddress);
};
