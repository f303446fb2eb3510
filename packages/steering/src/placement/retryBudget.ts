/**
 * Bounds how many repeated sends one service gets from the whole fleet. When targets
 * fail together, sending every request twice turns a fault into an overload. The bound
 * is a ratio of the service's requests plus a fixed number per window, for all
 * instances together. An instance applies the ratio to its own requests and takes an
 * equal share of the fixed number, so the sum stays within the bound without
 * coordination.
 */
import { SlidingWindowCounter } from './slidingWindowCounter';

/**
 * Fraction of the bound that is used; the rest covers window edges and an
 * underestimated fleet size.
 */
export const BUDGET_UTILIZATION = 0.85;

/** The fleet-wide bound on repeats per service. */
export interface RepeatBound {
  /** Repeats allowed per request. */
  ratio: number;
  /** Additional repeats allowed per window, for the whole fleet. */
  extra: number;
  windowMs: number;
}

/** The retry budget of one service at this instance. */
export class RetryBudget {
  private readonly requests: SlidingWindowCounter;

  private readonly repeats: SlidingWindowCounter;

  constructor(private readonly bound: RepeatBound) {
    this.requests = new SlidingWindowCounter(bound.windowMs);
    this.repeats = new SlidingWindowCounter(bound.windowMs);
  }

  /** Counts a caller's request for the service. */
  deposit(now: number): void {
    this.requests.add(now);
  }

  /**
   * Takes one repeat from the budget if this instance's share allows it. `fleetSize`
   * is the number of instances.
   */
  tryWithdraw(now: number, fleetSize: number): boolean {
    const allowed =
      BUDGET_UTILIZATION *
      (this.bound.ratio * this.requests.total(now) + this.bound.extra / Math.max(1, fleetSize));
    if (this.repeats.total(now) + 1 > allowed) return false;
    this.repeats.add(now);
    return true;
  }
}
