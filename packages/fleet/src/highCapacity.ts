/**
 * Selection of the high-capacity instances of a group. Processor and link capacity
 * differ by a factor of five and more within one failure domain. Serving callers
 * and watching the store for other instances is assigned to the high-capacity
 * instances, for which the cost is small.
 */
import type { InstanceEntry } from './records';

/** Minimum fraction of the group's maximum processor and link capacity for an instance to count as high-capacity; smaller differences average out over a few instances. */
const HIGH_CAPACITY_FRACTION = 0.5;
/** Minimum fraction of the group's cores that the high-capacity instances must have to take over all work: each then gets at most three times its even share, and callers rarely use a tenth of that. */
const MIN_CORES_FRACTION = 1 / 3;
/** Minimum number of high-capacity instances, so that another one remains if one fails. */
const MIN_INSTANCES = 2;

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

/** Returns the high-capacity instances of a group, or the whole group if they are too few or too small to carry the load. */
export const highCapacityInstances = (
  group: readonly InstanceEntry[],
): readonly InstanceEntry[] => {
  const maxCores = Math.max(...group.map(({ capacity }) => capacity.cores));
  const maxLinkMbps = Math.max(...group.map(({ capacity }) => capacity.linkMbps));
  const highCapacity = group.filter(
    ({ capacity }) =>
      capacity.cores >= maxCores * HIGH_CAPACITY_FRACTION &&
      capacity.linkMbps >= maxLinkMbps * HIGH_CAPACITY_FRACTION,
  );
  const totalCores = (instances: readonly InstanceEntry[]) =>
    sum(instances.map((i) => i.capacity.cores));
  const isSufficient =
    highCapacity.length >= MIN_INSTANCES &&
    totalCores(highCapacity) >= totalCores(group) * MIN_CORES_FRACTION;
  return isSufficient ? highCapacity : group;
};
