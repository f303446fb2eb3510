/**
 * Resolves after `ms` milliseconds. Looks up the global `setTimeout` on each
 * call, so that tests with fake timers can simulate hours of fleet operation;
 * the promise API of `node:timers` always uses the real timer.
 */
export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
