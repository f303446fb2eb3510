/** Returns the maximum number of timestamps in any window of `windowMs`, both ends included; `times` must be in ascending order. */
export const maxInWindow = (times: readonly number[], windowMs: number): number => {
  let start = 0;
  return times.reduce((maxCount, at, i) => {
    while (at - times[start] > windowMs) start += 1;
    return Math.max(maxCount, i - start + 1);
  }, 0);
};
