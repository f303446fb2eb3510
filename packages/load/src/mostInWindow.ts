/** Most of the times, in ascending order, that lie in any one window of this length, both ends included. */
export const mostInWindow = (times: readonly number[], windowMs: number): number => {
  let first = 0;
  return times.reduce((most, at, i) => {
    while (at - times[first] > windowMs) first += 1;
    return Math.max(most, i - first + 1);
  }, 0);
};
