/** What a stated pace means for the time that work takes. Times are in milliseconds. */
import type { PeakEstimate } from '../placement/peakResponseTime';

/** A pace above this is not credible and is treated as if none was stated. */
export const MAX_PACE = 100;

/**
 * Limits of the cost ratio. Below the minimum, a target would count as slow in the short
 * moments in which shared machines take two to three times as long; they end before
 * another target has loaded an object. Above the maximum, the estimate rests on outliers.
 */
const COST_RATIO = { min: 3, max: 10 };
/** Responses of each kind from which the ratio is learned. */
const MIN_RESPONSES = 10;
/** A send is not late before this: a few trips between any two regions. */
const MIN_LATE_MS = 100;
/** How much longer than its typical time a send for an uncached object may take. */
const UNCACHED_MARGIN = 2;

/** Returns a pace to calculate with; undefined if it is not credible. Work faster than usual gives no more slots. */
export const crediblePace = (pace: number | undefined): number | undefined =>
  pace !== undefined && pace > 0 && pace <= MAX_PACE ? Math.max(1, pace) : undefined;

/**
 * Returns how many times as long a target takes for an object that it has not cached.
 * A target at or above this pace is slow: another one that first loads the object
 * responds sooner.
 */
export const costRatio = (cached: PeakEstimate, uncached: PeakEstimate): number =>
  cached.ms > 0 && cached.answers >= MIN_RESPONSES && uncached.answers >= MIN_RESPONSES
    ? Math.min(COST_RATIO.max, Math.max(COST_RATIO.min, uncached.ms / cached.ms))
    : COST_RATIO.min;

/** A send whose response is awaited. */
export interface AwaitedSend {
  /** The target's typical response time for cached objects. */
  usualMs: number;
  ratio: number;
  likelyCached: boolean;
  /** Requests per slot at the target when it was sent. */
  perSlot: number;
}

/**
 * Returns the time after which a missing response is a reason to ask for the target's
 * pace: a target that is not slow responds before, also in a short slow moment.
 */
export const lateAfterMs = ({ usualMs, ratio, likelyCached, perSlot }: AwaitedSend): number =>
  Math.max(
    MIN_LATE_MS,
    usualMs * ratio * (likelyCached ? 1 : UNCACHED_MARGIN) * Math.max(1, perSlot),
  );

/**
 * Returns how long a response that took `ms` takes at the usual pace. No less than is
 * usual: the pace may have changed during the work, or be wrong.
 */
export const atUsualPace = (
  ms: number,
  pace: number | undefined,
  usualMs: number | undefined,
): number => Math.max(ms / (crediblePace(pace) ?? 1), Math.min(ms, usualMs ?? 0));
