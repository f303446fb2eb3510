/**
 * Determines how long a target's load report stays valid, from how often reports
 * arrive.
 *
 * When many instances share hundreds of targets, each instance hears from a target
 * only about every ten seconds. With a fixed validity, a report expires long before
 * the next one and nearly every target looks idle: where an instance saw none of a
 * target's slots in use, two thirds were (3,267 sends on a simulated day of 27
 * instances and 330 targets). Requests then queue at targets that are full with other
 * instances' requests. Which targets are full changes slowly, with the objects they
 * serve.
 */
import { SlidingWindowCounter } from './slidingWindowCounter';

/** Minimum validity of a report, ms. */
export const MIN_REPORT_STALE_MS = 2500;
/** Maximum validity of a report, ms: loads change in waves of half a minute. */
const MAX_REPORT_STALE_MS = 15_000;
/**
 * A report is valid for this many mean report intervals, so the next one usually
 * arrives in time.
 */
const STALE_AFTER_INTERVALS = 2;
/** Window over which the report rate is measured, ms. */
const RATE_WINDOW_MS = 10_000;
/** How long a computed validity is reused, ms. */
const RECOMPUTE_INTERVAL_MS = 500;

/** How long load reports of one service's targets stay valid at this instance. */
export class ReportStaleness {
  private readonly reports = new SlidingWindowCounter(RATE_WINDOW_MS);

  private staleMs = MIN_REPORT_STALE_MS;

  private computedAt = -Infinity;

  /** `targets` returns the number of targets of the service. */
  constructor(private readonly targets: () => number) {}

  /** Records that a report arrived. */
  recordReport(now: number): void {
    this.reports.add(now);
  }

  /** Returns the age from which a report is ignored, ms. */
  at(now: number): number {
    if (now - this.computedAt < RECOMPUTE_INTERVAL_MS) return this.staleMs;
    this.computedAt = now;
    const meanIntervalMs = (RATE_WINDOW_MS * this.targets()) / Math.max(1, this.reports.total(now));
    this.staleMs = Math.min(
      MAX_REPORT_STALE_MS,
      Math.max(MIN_REPORT_STALE_MS, STALE_AFTER_INTERVALS * meanIntervalMs),
    );
    return this.staleMs;
  }
}
