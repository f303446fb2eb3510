/**
 * Bounds how many repeated sends one service gets from the whole fleet. When targets
 * fail together, sending every request twice turns a fault into an overload. The bound
 * is a ratio of the service's requests plus a fixed number per window, for all
 * instances together.
 *
 * Each request earns a part of a repeat. For a short time it may be spent at once, so
 * that repeats follow the requests of their own window, whatever earlier lives of a
 * process have sent. For the rest of the window it may be spent only while the store has
 * this instance's note of it; the next life of the process then earns nothing until those
 * repeats lie a window back. The fixed number is claimed in parts from the whole fleet's
 * supply. See `RetryClaims` for both.
 */
import { SlidingWindowCounter } from './slidingWindowCounter';

/** Fraction of the ratio that is earned; the rest covers repeats that are earned before a window and sent in it. */
const EARNED_FRACTION = 0.84;
/** The same for an instance that earns less than one repeat per window: by chance, many of a large fleet earn theirs in the same window. */
const EARNED_FRACTION_AT_FEW_REQUESTS = 0.75;
/** Fraction of the window during which an earned repeat may be spent at once. */
const RECENT_FRACTION = 0.15;

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
  /** When each unspent repeat was earned, in ascending order. */
  private earned: number[] = [];

  private claimed: ClaimedRepeats[] = [];

  private readonly requests: SlidingWindowCounter;

  private readonly repeats: SlidingWindowCounter;

  /** Earned repeats are withheld until then: at first, it is unknown what the last life has spent. */
  private earnedFrom = Infinity;

  /** Repeats earned earlier in the window may be spent until then. */
  private earlierUntil = -Infinity;

  /**
   * The part of the next repeat that has been earned. It starts at random: the many lives
   * and instances that get few requests earn the ratio on average, none is favoured.
   */
  private part: number;

  private readonly initialPart: number;

  constructor(
    private readonly bound: RepeatBound,
    random: () => number,
  ) {
    this.initialPart = random();
    this.part = this.initialPart;
    this.requests = new SlidingWindowCounter(bound.windowMs);
    this.repeats = new SlidingWindowCounter(bound.windowMs);
  }

  /** Counts a caller's request for the service. */
  deposit(now: number): void {
    const { ratio } = this.bound;
    this.requests.add(now);
    const fraction = this.hasFewRequests(now) ? EARNED_FRACTION_AT_FEW_REQUESTS : EARNED_FRACTION;
    this.part += ratio * fraction;
    // Without repeats, nothing else drops what has expired.
    if (this.part >= 1) this.unspent(now);
    for (; this.part >= 1; this.part -= 1) this.earned.push(now);
  }

  /** Adds repeats that were claimed from the fleet's supply. */
  addClaimed(repeats: number, until: number): void {
    this.claimed.push({ left: repeats, until });
  }

  /** Allows earned repeats to be spent from then on. */
  allowEarned(from: number): void {
    this.earnedFrom = from;
  }

  /** Allows repeats that were earned earlier in the window to be spent until then. */
  allowEarlier(until: number): void {
    this.earlierUntil = until;
  }

  /** True if there is a repeat that was earned earlier and may not be spent yet. */
  hasEarlier(now: number): boolean {
    return (
      now >= this.earnedFrom &&
      now > this.earlierUntil &&
      !this.hasFewRequests(now) &&
      this.isWithinWindow(now) &&
      this.unspent(now).length > 0
    );
  }

  /** Takes one repeat from the budget if there is one. */
  tryWithdraw(now: number): boolean {
    return this.take(now) !== undefined;
  }

  /** Takes one repeat from the budget if there is one; the returned function puts it back if it was not sent. */
  take(now: number): (() => void) | undefined {
    return (now >= this.earnedFrom ? this.takeEarned(now) : undefined) ?? this.takeClaimed(now);
  }

  private takeClaimed(now: number): (() => void) | undefined {
    this.claimed = this.claimed.filter(({ left, until }) => left > 0 && until >= now);
    const [first] = this.claimed;
    if (!first) return undefined;
    first.left -= 1;
    return () => {
      first.left += 1;
      if (!this.claimed.includes(first)) this.claimed.unshift(first);
    };
  }

  private takeEarned(now: number): (() => void) | undefined {
    const hasFew = this.hasFewRequests(now);
    if (!hasFew && !this.isWithinWindow(now)) return undefined;
    const { windowMs } = this.bound;
    const mayBeEarlier = !hasFew && now <= this.earlierUntil;
    const since = mayBeEarlier ? -Infinity : now - RECENT_FRACTION * windowMs;
    const index = this.unspent(now).findIndex((at) => at >= since);
    if (index < 0) return undefined;
    const [earnedAt] = this.earned.splice(index, 1);
    this.repeats.add(now);
    return () => {
      this.earned = [...this.earned, earnedAt].sort((a, b) => a - b);
      this.repeats.add(now, -1);
    };
  }

  private unspent(now: number): number[] {
    const since = now - this.bound.windowMs;
    const kept = this.earned.findIndex((at) => at >= since);
    this.earned.splice(0, kept < 0 ? this.earned.length : kept);
    return this.earned;
  }

  /** True if one more earned repeat stays within what the requests of this life's window allow. */
  private isWithinWindow(now: number): boolean {
    const allowed = EARNED_FRACTION * this.bound.ratio * this.requests.total(now);
    return this.repeats.total(now) + 1 <= allowed + this.initialPart;
  }

  private hasFewRequests(now: number): boolean {
    return this.bound.ratio * this.requests.total(now) < 1;
  }
}
