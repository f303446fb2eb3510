/**
 * Estimates a target's load from its own reports and this instance's sends. A report
 * counts the requests of all instances but is as old as the last response; this
 * instance's own requests in flight are known exactly. The estimate is the sum of the
 * own requests and of the others' part of the last report. That part decays once the
 * report is old: otherwise one report of a full target would keep it unused forever,
 * as no request would be sent that could bring a newer report.
 */

import type { ReportStaleness } from './reportStaleness';
import { MIN_REPORT_STALE_MS } from './reportStaleness';

/**
 * A report counts in full up to this age, ms: a few response times at typical
 * rates.
 */
export const REPORT_FRESH_MS = 700;

/** The load estimate of one target. */
export class LoadEstimate {
  /** Requests of this instance in flight at the target. */
  ownRequests = 0;

  /** Requests of other instances at the target according to the last report. */
  otherRequests = 0;

  /**
   * When the last report arrived, ms on the monotonic clock; undefined if
   * none has.
   */
  reportedAt: number | undefined;

  /** `staleness` sets how long reports stay valid; the minimum applies if it is omitted. */
  constructor(private readonly staleness?: ReportStaleness) {}

  /** Records the target's report of its running and waiting requests. */
  recordReport(running: number, waiting: number, now: number): void {
    this.otherRequests = Math.max(0, running + waiting - this.ownRequests);
    this.reportedAt = now;
    this.staleness?.recordReport(now);
  }

  /** Returns the estimated number of requests at the target, running or waiting. */
  requestsAt(now: number): number {
    if (this.reportedAt === undefined) return this.ownRequests;
    const age = now - this.reportedAt;
    if (age <= REPORT_FRESH_MS) return this.ownRequests + this.otherRequests;
    const staleMs = this.staleness?.at(now) ?? MIN_REPORT_STALE_MS;
    const weight = Math.max(0, 1 - (age - REPORT_FRESH_MS) / (staleMs - REPORT_FRESH_MS));
    return this.ownRequests + this.otherRequests * weight;
  }
}
