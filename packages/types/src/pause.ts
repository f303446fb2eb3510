/**
 * Resolves after `ms`. It uses the timer that is in force when it is called,
 * so that tests can play hours of a fleet in virtual time; the promises of
 * `node:timers` keep the real one.
 */
export const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
