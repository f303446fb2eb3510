/** Selects the targets that are probed to find out whether this instance reaches any. */
import type { ServicePool, TargetState } from '@cardamomladder/steering';
import { usable } from '@cardamomladder/steering';
import type { TargetId } from '@cardamomladder/types';

/** Number of targets probed at once. */
const PROBED_TARGETS = 3;

/** Probes count towards what cold and limited targets tolerate, so others are preferred. */
const isRestricted = ({ coldUntil, selfReport }: TargetState, now: number): boolean =>
  coldUntil > now || selfReport.pausedUntil > now || selfReport.limit.perSecond !== undefined;

/**
 * Returns random targets, in different failure domains as far as possible, one of them
 * in the own region: links to other regions may be lost alone.
 */
export const selectProbedTargets = (
  pools: readonly ServicePool[],
  now: number,
  random: () => number,
): TargetState[] => {
  const usableTargets = pools.flatMap((pool) =>
    pool.targets.filter((target) => usable(target, pool)),
  );
  const unrestricted = usableTargets.filter((target) => !isRestricted(target, now));
  const candidates = unrestricted.length > 0 ? unrestricted : usableTargets;
  const shuffled = candidates
    .map((target) => ({ target, order: random() }))
    .sort((a, b) => a.order - b.order)
    .map(({ target }) => target);
  const nearby = shuffled.findIndex(({ region }) => region === pools[0]?.ownRegion);
  if (nearby > 0) shuffled.unshift(...shuffled.splice(nearby, 1));
  const domains = new Set<string>();
  const fromNewDomain: TargetState[] = [];
  const others: TargetState[] = [];
  shuffled.forEach((target) => {
    (domains.has(target.failureDomain) ? others : fromNewDomain).push(target);
    domains.add(target.failureDomain);
  });
  return [...fromNewDomain, ...others].slice(0, PROBED_TARGETS);
};

/** Returns true if a service has usable targets, all of which are among the failed ones. */
export const leavesNone = (pool: ServicePool, failed: ReadonlySet<TargetId>): boolean => {
  const usableTargets = pool.targets.filter((target) => usable(target, pool));
  return usableTargets.length > 0 && usableTargets.every(({ id }) => failed.has(id));
};
