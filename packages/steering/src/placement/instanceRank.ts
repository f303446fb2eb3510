/**
 * Ranks instances by a hash of the key and their id. All instances compute the same
 * order, which differs per key.
 */
import murmurhash from 'murmurhash';

/** Returns how many of the instances rank before `self` for `key`. */
export const instanceRank = (key: string, self: string, instances: readonly string[]): number => {
  const score = (id: string) => murmurhash.v3(`${key}|${id}`);
  const ownScore = score(self);
  return instances.filter((id) => id !== self && score(id) < ownScore).length;
};
