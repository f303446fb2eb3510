/**
 * Keeps the number of log lines bounded under load: each kind of line has a
 * rate, and what goes over it is counted and said in the next line of that
 * kind, so that a reader knows that lines are missing.
 */

/** Decides whether a line of a kind may be written now. */
export interface LineLimit {
  /** Undefined: write nothing. Otherwise how many lines of the kind were left out before this one. */
  admit: (kind: string, now: number) => number | undefined;
}

interface KindState {
  second: number;
  written: number;
  leftOut: number;
}

/** A limit of `perSecond(kind)` lines in each second. */
export const lineLimit = (perSecond: (kind: string) => number): LineLimit => {
  const kinds = new Map<string, KindState>();
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
