/** Counts arrivals by window and compares repeats with the fleet-wide bound. */
import type { RepeatBound } from '@cardamomladder/steering';

/** When requests were sent and repeats arrived, ms. */
export interface Arrivals {
  requests: readonly number[];
  repeats: readonly number[];
}

/** The arrivals of one window. */
export interface ArrivalWindow {
  from: number;
  /** Repeats that arrived in the window. */
  repeats: number;
  /** Repeats that the bound allows in it. */
  allowed: number;
  /** `repeats` divided by `allowed`. */
  ratio: number;
}

/** Index of the first of the ascending `times` that is not before `at`. */
const firstFrom = (times: readonly number[], at: number): number => {
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if (times[middle] < at) low = middle + 1;
    else high = middle;
  }
  return low;
};

const countIn = (times: readonly number[], from: number, to: number): number =>
  firstFrom(times, to) - firstFrom(times, from);

/**
 * Returns the window with the most repeats in proportion to the bound. The requests that
 * count are those of the window, the one before it, or the one half a window before it.
 */
export const worstWindow = (arrivals: Arrivals, bound: RepeatBound): ArrivalWindow => {
  const { windowMs, ratio, extra } = bound;
  const requests = [...arrivals.requests].sort((a, b) => a - b);
  const repeats = [...arrivals.repeats].sort((a, b) => a - b);
  const windowFrom = (from: number): ArrivalWindow => {
    const counted = Math.max(
      ...[0, windowMs / 2, windowMs].map((before) =>
        countIn(requests, from - before, from - before + windowMs),
      ),
    );
    const allowed = ratio * counted + extra;
    const count = countIn(repeats, from, from + windowMs);
    return { from, repeats: count, allowed, ratio: count / allowed };
  };
  const none: ArrivalWindow = { from: 0, repeats: 0, allowed: extra, ratio: 0 };
  return repeats.map(windowFrom).reduce((a, b) => (b.ratio > a.ratio ? b : a), none);
};
