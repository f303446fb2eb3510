/**
 * Estimates how long callers have already waited in earlier attempts. Each
 * attempt carries the caller's remaining timeout, so a value far below the
 * longest one seen on its route means that the difference has been used up.
 * Initial timeouts vary between callers; smaller differences are ignored.
 */
import type { RouteName } from '@cardamomladder/types';

/** Variation of the initial timeouts of a route's callers, as a fraction of the longest. */
const TIMEOUT_VARIATION = 0.3;

/** Tracks the longest timeout seen per route. Times in ms. */
export class PriorWaitEstimator {
  private readonly longestTimeoutMs = new Map<RouteName, number>();

  /** Records an attempt's timeout and returns a lower bound of its caller's earlier waiting time. */
  estimate(route: RouteName, statedMs: number): number {
    const longestMs = Math.max(this.longestTimeoutMs.get(route) ?? 0, statedMs);
    this.longestTimeoutMs.set(route, longestMs);
    return Math.max(0, longestMs * (1 - TIMEOUT_VARIATION) - statedMs);
  }
}
