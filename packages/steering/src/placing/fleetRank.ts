/** An order of instances that all of them compute alike, another one for each key. */
import murmurhash from 'murmurhash';

/** How many of the instances stand before `self` in the order of `key`. */
export const fleetRank = (key: string, self: string, instances: readonly string[]): number => {
  const place = (id: string) => murmurhash.v3(`${key}|${id}`);
  const mine = place(self);
  return instances.filter((id) => id !== self && place(id) < mine).length;
};
