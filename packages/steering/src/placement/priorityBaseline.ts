/**
 * Determines which of a service's requests are urgent: those with a higher priority
 * than most recent ones. Priorities are relative, so a service whose requests all have
 * the same priority has no urgent ones.
 */

/** Smoothing weight of the newest request. */
const SMOOTHING_WEIGHT = 0.02;
/**
 * How far below the baseline a request's priority must be to count as urgent.
 * Priorities are integers, 0 the most urgent.
 */
const URGENT_MARGIN = 0.25;

/** The moving average of the priorities of a service's requests. */
export class PriorityBaseline {
  private mean: number | undefined;

  /** Records a request's priority. Returns true if the request is urgent. */
  observe(priority: number): boolean {
    const baseline = this.mean ?? priority;
    this.mean = baseline + SMOOTHING_WEIGHT * (priority - baseline);
    return priority < baseline - URGENT_MARGIN;
  }
}
