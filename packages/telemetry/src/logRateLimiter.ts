/**
 * Bounds the log volume under load. Each kind of line has a rate limit;
 * suppressed lines are counted, and the next line of that kind reports the
 * count, so that readers can tell that lines are missing.
 */

/** Decides whether a log line of a given kind may be written now. */
export interface LogRateLimiter {
  /** Returns undefined if the line is suppressed, else the number of lines of the kind suppressed since the last one written. */
  admit: (kind: string, now: number) => number | undefined;
}

interface RateWindow {
  second: number;
  written: number;
  leftOut: number;
}

/** Creates a limiter that admits `perSecond(kind)` lines of a kind per second. */
export const logRateLimiter = (perSecond: (kind: string) => number): LogRateLimiter => {
  const kinds = new Map<string, RateWindow>();
  return {
    admit: (kind, now) => {
      const second = Math.floor(now / 1000);
      const state = kinds.get(kind) ?? { second, written: 0, leftOut: 0 };
      kinds.set(kind, state);
      if (state.second !== second) {
        state.second = second;
        state.written = 0;
      }
      if (state.written >= perSecond(kind)) {
        state.leftOut += 1;
        return undefined;
      }
      state.written += 1;
      const { leftOut } = state;
      state.leftOut = 0;
      return leftOut;
    },
  };
};
