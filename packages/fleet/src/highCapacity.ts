/**
 * The strong instances of a group. Machines of one failure domain differ by
 * five times and more in processor and link; some work is better left to the
 * strong ones, which do it at little cost: serving callers, and watching the
 * store for others.
 */
import type { InstanceEntry } from './facts';

/** An instance is strong from this part of the strongest one's processor and link: lesser differences even out over a few instances. */
const STRONG_PART = 0.5;
/** The strong ones take all work only if they have this part of the group's processor: each then gets three times its even share at most, and callers rarely use a tenth of it. */
const ENOUGH_PART = 1 / 3;
/** They must also be this many, so that there is another one when one fails. */
const ENOUGH_INSTANCES = 2;

const sum = (values: readonly number[]): number =>
  values.reduce((total, value) => total + value, 0);

/** The strong instances of a group, or the whole group when they are too few to carry it. */
export const strongOf = (group: readonly InstanceEntry[]): readonly InstanceEntry[] => {
  const cores = Math.max(...group.map(({ capacity }) => capacity.cores));
  const linkMbps = Math.max(...group.map(({ capacity }) => capacity.linkMbps));
  const strong = group.filter(
    ({ capacity }) =>
      capacity.cores >= cores * STRONG_PART && capacity.linkMbps >= linkMbps * STRONG_PART,
  );
  const coresOf = (some: readonly InstanceEntry[]) => sum(some.map((i) => i.capacity.cores));
  const enough =
    strong.length >= ENOUGH_INSTANCES && coresOf(strong) >= coresOf(group) * ENOUGH_PART;
  return enough ? strong : group;
};
