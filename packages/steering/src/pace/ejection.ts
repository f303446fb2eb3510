/**
 * Selects the slow targets that get no requests. The load it answers: up to half of a
 * service's targets become many times slower for seconds. Without their share of the
 * work the others must carry the load, so the ejected share of slots is capped; which
 * targets are ejected under the cap depends on nothing but the paces and the ids, so that
 * instances that know the same choose the same.
 */
import type { TargetId } from '@cardamomladder/types';

/** A target found to be slow. */
export interface SlowTarget {
  id: TargetId;
  slots: number;
  pace: number;
}

const slowestFirst = (a: SlowTarget, b: SlowTarget): number =>
  b.pace - a.pace || (a.id < b.id ? -1 : 1);

/** Returns the targets to eject: the slowest ones that together have no more than `maxSlots` slots. */
export const selectEjected = <T extends SlowTarget>(slow: readonly T[], maxSlots: number): T[] => {
  let slots = 0;
  return [...slow].sort(slowestFirst).filter((target) => {
    if (slots + target.slots > maxSlots) return false;
    slots += target.slots;
    return true;
  });
};
