/**
 * The longest answer time of a service lately. A target takes several times
 * longer on an object that is new to it than on one it knows, so an answer
 * that is late by the mean and its deviations may just be a new object's.
 * Giving such a send up and sending the request to another target, where the
 * object is new too, makes both do the long work and neither remember it.
 */

/** The longest time counts half after this, ms: a burst of slow answers is forgotten within a minute. */
const HALF_LIFE_MS = 10_000;

/** Remembers the longest answer time, which fades. */
export class LongestAnswer {
  private ms = 0;

  private at = 0;

  /** Takes an answer's time. */
  take(ms: number, now: number): void {
    if (ms < this.now(now)) return;
    this.ms = ms;
    this.at = now;
  }

  /** The longest time as it counts at `now`, ms; 0 before the first answer. */
  now(now: number): number {
    return this.ms * 0.5 ** ((now - this.at) / HALF_LIFE_MS);
  }
}
