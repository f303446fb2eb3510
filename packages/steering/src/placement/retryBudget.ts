/**
 * Bounds how many repeated sends one service gets from the whole fleet. When targets
 * fail together, sending every request twice turns a fault into an overload. The bound
 * is a ratio of the service's requests plus a fixed number per window, for all
 * instances together.
 *
 * Each request earns a part of a repeat that is valid for a short time, so that repeats
 * follow the requests of their own window, whatever earlier lives of a process have
 * sent. The fixed number is claimed in parts from the whole fleet's supply (see
 * `RetryClaims`). Nothing is there at the start of a process that another one may have
 * spent, and nothing depends on how many instances there are.
 */
import { SlidingWindowCounter } from './slidingWindowCounter';

/** Fraction of the ratio that is earned; the rest covers repeats that are earned before a window and sent in it. */
const EARNED_FRACTION = 0.85;
/** The same for an instance that earns less than one repeat per window: by chance, many of a large fleet earn theirs in the same window. */
const EARNED_FRACTION_AT_FEW_REQUESTS = 0.75;
/** Fraction of the window during which an earned repeat is valid. */
const VALIDITY_FRACTION = 0.15;

/** The fleet-wide bound on repeats per service. */
export interface RepeatBound {
  /** Repeats allowed per request. */
  ratio: number;
  /** Additional repeats allowed per window, for the whole fleet. */
  extra: number;
  windowMs: number;
}

/** Repeats that this instance claimed from the fleet's supply. */
interface ClaimedRepeats {
  left: number;
  /** Monotonic clock, ms. */
  until: number;
}

/** The retry budget of one service at this instance. Times are in ms on the monotonic clock. */
export class RetryBudget {
  /** Until when each earned repeat is valid, in ascending order. */
  private readonly earned: number[] = [];

  private claimed: ClaimedRepeats[] = [];

  private readonly requests: SlidingWindowCounter;

  /**
   * The part of the next repeat that has been earned. It starts at random: the many lives
   * and instances that get few requests earn the ratio on average, none is favoured.
   */
  private part: number;

  constructor(
    private readonly bound: RepeatBound,
    random: () => number,
  ) {
    this.part = random();
    this.requests = new SlidingWindowCounter(bound.windowMs);
  }

  /** Counts a caller's request for the service. */
  deposit(now: number): void {
    const { ratio, windowMs } = this.bound;
    this.requests.add(now);
    const hasFew = ratio * this.requests.total(now) < 1;
    this.part += ratio * (hasFew ? EARNED_FRACTION_AT_FEW_REQUESTS : EARNED_FRACTION);
    for (; this.part >= 1; this.part -= 1) this.earned.push(now + VALIDITY_FRACTION * windowMs);
  }

  /** Adds repeats that were claimed from the fleet's supply. */
  addClaimed(repeats: number, until: number): void {
    this.claimed.push({ left: repeats, until });
  }

  /** Takes one repeat from the budget if there is one. */
  tryWithdraw(now: number): boolean {
    while (this.earned.length > 0 && this.earned[0] < now) this.earned.shift();
    if (this.earned.shift() !== undefined) return true;
    this.claimed = this.claimed.filter(({ left, until }) => left > 0 && until >= now);
    if (this.claimed.length === 0) return false;
    this.claimed[0].left -= 1;
    return true;
  }
}
