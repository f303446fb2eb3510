/**
 * Divides what a cold target tolerates among all instances. A cold target
 * crashes when the fleet together sends too much; no instance sees what the
 * others send, so each keeps to a share that sums to less than the bound
 * whatever the others do. The shares are whole requests per second: the
 * division's remainder goes to the instances that rank first for the target,
 * so that a fleet larger than the bound still warms each target up. Members
 * that callers are sent to count for more: with equal shares 195 instances, of
 * which 27 get the callers, sent a cold target 1.7 requests a second of the 12
 * that it was allowed.
 */
import murmurhash from 'murmurhash';

/** An instance of the fleet, and how much of the callers it gets beside the others. */
export interface WeighedMember {
  id: string;
  weight: number;
}

/** Part of the tolerated rate that is used; the rest covers instances that count the fleet differently. */
export const COLD_RATE_USED = 0.9;

const UINT32 = 4294967296;

/** Place of a member in the order in which a target's remainder is given out: lower comes first, heavier ones more often. */
const placeOf = (targetId: string, { id, weight }: WeighedMember): number => {
  const uniform = (murmurhash.v3(`${targetId}|${id}`) + 0.5) / UINT32;
  return -Math.log(1 - uniform) / weight;
};

/** Requests per second that `self` may send to a cold target, given all members of the fleet (with self). */
export const coldShare = (
  targetId: string,
  self: string,
  members: readonly WeighedMember[],
  toleratedPerSecond: number,
): number => {
  const budget = Math.floor(toleratedPerSecond * COLD_RATE_USED);
  const total = members.reduce((sum, { weight }) => sum + weight, 0);
  const baseOf = ({ weight }: WeighedMember) => Math.floor((budget * weight) / total);
  const own = members.find(({ id }) => id === self) ?? { id: self, weight: 1 };
  const remainder = budget - members.reduce((sum, member) => sum + baseOf(member), 0);
  const mine = placeOf(targetId, own);
  const ahead = members.filter(
    (member) => member.id !== self && placeOf(targetId, member) < mine,
  ).length;
  return (total > 0 ? baseOf(own) : budget) + (ahead < remainder ? 1 : 0);
};
