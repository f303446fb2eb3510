/** Moments of the platform's store. */
import type { StoreEpoch } from './ids';

/**
 * A revision of the store with the epoch in which it was given out. A store
 * that comes back from an older copy gives the revisions since then out again,
 * so they are ordered within an epoch only.
 */
export interface StoreMoment {
  epoch: StoreEpoch;
  revision: number;
}

/** The moment alone, of something that stands at it. */
export const momentOf = ({ epoch, revision }: StoreMoment): StoreMoment => ({ epoch, revision });

/** Orders moments, earlier ones first, as `Array.sort` expects. */
export const compareMoments = (a: StoreMoment, b: StoreMoment): number =>
  a.epoch - b.epoch || a.revision - b.revision;
