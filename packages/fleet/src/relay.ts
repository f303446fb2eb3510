/**
 * Which instances watch the store for the others of their region.
 *
 * Every instance that watches the store costs it a call a second, so calls
 * grow with the fleet while the store's rate does not. The instances that
 * have been registered longest watch; the others follow one of them. All
 * instances that see the same entries choose alike, nothing has to be agreed
 * upon, and one that joins or restarts never takes over from one that
 * watches. A wrong choice costs a call, not a fact: a peer that is not itself
 * watching says so, and the asker then watches the store.
 */
import type { InstanceEntry } from './facts';

/** Instances that one watches for: their questions (1.4 a second each, about 0.3 ms of processor time) stay below 1 % of a core. */
export const INSTANCES_PER_RELAY = 16;

/** An instance and the store's revision at which it registered. */
export interface RegisteredInstance {
  instance: InstanceEntry;
  revision: number;
}

/** The instance that `self` follows the store through; undefined when it is to watch the store itself. */
export const relayOf = (
  self: InstanceEntry,
  registered: readonly RegisteredInstance[],
): InstanceEntry | undefined => {
  const group = registered
    .filter(({ instance }) => instance.region === self.region)
    .sort((a, b) => a.revision - b.revision);
  // Its place in the region also spreads the followers over the relays.
  const turn = group.findIndex(({ instance }) => instance.id === self.id);
  const relays = group.slice(0, Math.ceil(group.length / INSTANCES_PER_RELAY));
  // An instance without an entry (not registered yet, or lapsed) watches for
  // itself: the store may be turning it away, which only its own calls show.
  if (turn < relays.length) return undefined;
  const near = relays.filter(({ instance }) => instance.failureDomain === self.failureDomain);
  const choice = near.length > 0 ? near : relays;
  return choice[turn % choice.length].instance;
};
