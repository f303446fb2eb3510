/**
 * Limits how many requests a target may have, running or waiting.
 *
 * At peaks, all slots of some targets are in use for short moments. A short queue lets
 * requests that arrive then still meet their objective; a rejected request is retried a
 * quarter of a second later or not at all. The limit keeps the queue short enough that
 * the last request meets its objective too: in a longer queue, it and each request
 * behind it would be late.
 */

/**
 * Requests per slot while response times are unknown: a queue long enough to cover the
 * network round trip.
 */
export const DEFAULT_PER_SLOT = 1.8;
/** Minimum requests per slot: keeps a target's slots in use while responses travel. */
const MIN_PER_SLOT = 1.4;
/**
 * Maximum requests per slot, however short the responses: reports of other instances'
 * requests are as old as the last response, so a longer queue overshoots.
 */
const MAX_PER_SLOT = 2.2;

/**
 * Returns the requests per slot at which the last one is still answered within the
 * objective: as many typical response times as fit into it. Times are in milliseconds.
 */
export const maxRequestsPerSlot = (
  objectiveMs: number | undefined,
  responseMs: number | undefined,
): number => {
  if (objectiveMs === undefined || responseMs === undefined || responseMs <= 0)
    return DEFAULT_PER_SLOT;
  return Math.min(MAX_PER_SLOT, Math.max(MIN_PER_SLOT, objectiveMs / responseMs));
};
