/**
 * How long callers have waited in attempts before this one. Each attempt
 * states the time that is left, so one that states far less than the longest
 * for its route has used the difference up. Callers differ in patience by some
 * part; a smaller difference than that says nothing.
 */
import type { RouteName } from '@cardamomladder/types';

/** By how much callers of a route differ in the time they state at first, as a part of the longest. */
const TIMEOUT_VARIATION = 0.3;

/** The longest time stated per route. Times in ms. */
export class WaitedBefore {
  private readonly longestTimeoutMs = new Map<RouteName, number>();

  /** Takes the time that an attempt states, and says how long its caller has surely waited before. */
  take(route: RouteName, statedMs: number): number {
    const longestMs = Math.max(this.longestTimeoutMs.get(route) ?? 0, statedMs);
    this.longestTimeoutMs.set(route, longestMs);
    return Math.max(0, longestMs * (1 - TIMEOUT_VARIATION) - statedMs);
  }
}
