/**
 * Selects the relays: the instances that watch the store on behalf of the others
 * in their region.
 *
 * Every instance that watches the store makes one call per second, so the load
 * grows with the fleet while the store's rate limit does not. The high-capacity
 * instances that have been registered longest are the relays; the others follow
 * one of them. The selection is deterministic: all instances that see the same
 * entries select the same relays without coordination, and an instance that
 * joins or restarts never replaces a relay of the same capacity class. A wrong
 * selection costs one call but loses no change: a peer that is not watching the
 * store says so, and the follower then tries the next relay or watches the store
 * itself.
 */
import type { InstanceEntry } from './records';
import { highCapacityInstances } from './highCapacity';

/** Regions with up to this many instances have one relay: it fails no more often than any other instance, and its followers then watch the store themselves. */
const SINGLE_RELAY_MAX_INSTANCES = 16;
/** Minimum number of relays in larger regions: when one fails, a few dozen followers switch to another relay instead of the store. */
const MIN_RELAYS = 2;
/** Instances per relay: their requests (1.4 per second each, about 0.3 ms of CPU time) use 3 % of a core, which high-capacity instances can spare. */
export const INSTANCES_PER_RELAY = 64;

/** Number of relays for a region with the given number of instances. */
export const relayCount = (instances: number): number =>
  instances <= SINGLE_RELAY_MAX_INSTANCES
    ? Math.min(1, instances)
    : Math.max(MIN_RELAYS, Math.ceil(instances / INSTANCES_PER_RELAY));

/** An instance and the store revision at which it registered. */
export interface RegisteredInstance {
  instance: InstanceEntry;
  revision: number;
}

/** Selects the relays of a region: high-capacity instances first, then by registration revision. */
const selectRelays = (group: readonly RegisteredInstance[]): InstanceEntry[] => {
  const highCapacityIds = new Set(
    highCapacityInstances(group.map(({ instance }) => instance)).map(({ id }) => id),
  );
  const rankOf = ({ instance }: RegisteredInstance) => (highCapacityIds.has(instance.id) ? 0 : 1);
  return [...group]
    .sort((a, b) => rankOf(a) - rankOf(b) || a.revision - b.revision)
    .slice(0, relayCount(group.length))
    .map(({ instance }) => instance);
};

/** Simple checksum of an id, used to distribute followers over the relays. */
const idChecksum = (id: string): number =>
  [...id].reduce((total, character) => total + character.charCodeAt(0), 0);

/**
 * Returns the relays that `self` may follow, in order of preference; empty if it
 * must watch the store itself. `joining` means that it has not been registered
 * yet. An instance that was registered but no longer has an entry watches the
 * store itself: the store may be rejecting it, which only its own calls reveal.
 */
export const relaysFor = (
  self: InstanceEntry,
  registered: readonly RegisteredInstance[],
  joining: boolean,
): InstanceEntry[] => {
  const group = registered.filter(({ instance }) => instance.region === self.region);
  const relays = selectRelays(group);
  const isRegistered = group.some(({ instance }) => instance.id === self.id);
  if (relays.some(({ id }) => id === self.id) || (!isRegistered && !joining)) return [];
  const offset = idChecksum(self.id) % Math.max(1, relays.length);
  const rotated = [...relays.slice(offset), ...relays.slice(0, offset)];
  const isSameDomain = (relay: InstanceEntry) => relay.failureDomain === self.failureDomain;
  return [...rotated.filter(isSameDomain), ...rotated.filter((relay) => !isSameDomain(relay))];
};
