/** Positions in the history of the platform's store. */
import type { StoreEpoch } from './ids';

/**
 * A store revision together with the epoch in which it was assigned. A store
 * that is restored from an older copy assigns the revisions after that copy
 * again, so revisions are only ordered within an epoch.
 */
export interface StorePosition {
  epoch: StoreEpoch;
  revision: number;
}

/** Extracts the store position from an object that contains one. */
export const positionOf = ({ epoch, revision }: StorePosition): StorePosition => ({
  epoch,
  revision,
});

/** Comparator for `Array.sort` that orders positions from earliest to latest. */
export const comparePositions = (a: StorePosition, b: StorePosition): number =>
  a.epoch - b.epoch || a.revision - b.revision;
