/**
 * Tracks the longest recent response time of a service. A target takes several times
 * longer for an object it has not cached, so a response that is late by mean and
 * deviation may only be a cache miss. Abandoning such a request and sending it to
 * another target, which has not cached the object either, makes both do the long work
 * and neither cache it.
 */

/** The current estimate of a service's longest response time. */
export interface PeakEstimate {
  /** Longest recent response time in milliseconds; 0 before the first response. */
  ms: number;
  /** Number of responses behind the estimate; older ones count less. */
  answers: number;
}

/**
 * A request is overdue after this multiple of the longest recent response time: work
 * varies by a third.
 */
const OVERDUE_FACTOR = 1.3;
/**
 * Extra margin for small samples, divided by the number of responses. The longest of a
 * few responses is well below the true maximum: the next response exceeds the longest
 * of ten in one of eleven cases. At ten responses it adds one full response time.
 */
const SMALL_SAMPLE_MARGIN = 10;
/**
 * No request is overdue before this, ms: a few times the delay between any two
 * regions.
 */
const MIN_OVERDUE_MS = 350;

/**
 * Returns the time after which a request is overdue, ms; undefined before the first
 * response.
 */
export const overdueAfterMs = ({ ms, answers }: PeakEstimate): number | undefined =>
  answers === 0
    ? undefined
    : Math.max(MIN_OVERDUE_MS, ms * (OVERDUE_FACTOR + SMALL_SAMPLE_MARGIN / answers));

/**
 * Half-life of the estimate, ms: a burst of slow responses is forgotten
 * within a minute.
 */
const HALF_LIFE_MS = 10_000;

/** The longest recent response time, decaying exponentially. */
export class PeakResponseTime {
  private ms = 0;

  private at = 0;

  private answers = 0;

  private countedAt = 0;

  /** Records a response time. */
  record(ms: number, now: number): void {
    const current = this.estimateAt(now);
    this.answers = current.answers + 1;
    this.countedAt = now;
    if (ms < current.ms) return;
    this.ms = ms;
    this.at = now;
  }

  /** Returns the decayed estimate at `now`. */
  estimateAt(now: number): PeakEstimate {
    const decay = (since: number) => 0.5 ** ((now - since) / HALF_LIFE_MS);
    return { ms: this.ms * decay(this.at), answers: this.answers * decay(this.countedAt) };
  }
}
