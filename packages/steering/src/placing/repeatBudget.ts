/**
 * Bounds how many repeated sends one service gets from the whole fleet. When
 * targets fail together, every request that is sent twice turns a fault into
 * an overload. The bound is a ratio of the service's requests plus a fixed
 * number per window, for all instances together; an instance uses the ratio
 * on its own requests and an equal share of the fixed number, so the sum
 * keeps the bound without any exchange.
 */
import { RollingCount } from './rollingCount';

/** Part of the bound that is used: covers window edges and a fleet counted too small. */
export const BUDGET_USED = 0.85;

/** The fleet's bound on repeats per service. */
export interface RepeatBound {
  /** Repeats allowed per request. */
  ratio: number;
  /** Repeats allowed per window besides, for the whole fleet. */
  extra: number;
  windowMs: number;
}

/** The repeats of one service at this instance. */
export class RepeatBudget {
  private readonly requests: RollingCount;

  private readonly repeats: RollingCount;

  constructor(private readonly bound: RepeatBound) {
    this.requests = new RollingCount(bound.windowMs);
    this.repeats = new RollingCount(bound.windowMs);
  }

  /** Counts a caller's request for the service. */
  earn(now: number): void {
    this.requests.add(now);
  }

  /** Takes one repeat if the share allows it; `fleetSize` is the number of instances. */
  spend(now: number, fleetSize: number): boolean {
    const allowed =
      BUDGET_USED *
      (this.bound.ratio * this.requests.total(now) + this.bound.extra / Math.max(1, fleetSize));
    if (this.repeats.total(now) + 1 > allowed) return false;
    this.repeats.add(now);
    return true;
  }
}
