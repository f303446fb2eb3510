/**
 * How busy a target is, from its own reports and this instance's sends. A
 * report counts everyone's requests but is as old as the last answer; what
 * this instance has under way is exact. The estimate is the sum of our own
 * requests and the others' share of the last report, which fades once the
 * report is old: without fading, one report of a full moment would keep a
 * target unused for good, as nothing would be sent that could bring a newer
 * report.
 */

import type { ReportFade } from './reportFade';
import { REPORT_STALE_MS } from './reportFade';

/** A report is taken whole up to this age, in ms: a few answers' time at usual rates. */
export const REPORT_FRESH_MS = 700;

/** What is known of one target's load. */
export class Load {
  /** Requests this instance has under way at the target. */
  own = 0;

  /** Requests others had there at the last report. */
  others = 0;

  /** When the last report came, ms on the steady clock; undefined: never. */
  reportedAt: number | undefined;

  /** `fade`: for how long reports count; the shortest time where not given. */
  constructor(private readonly fade?: ReportFade) {}

  /** Takes the target's report of its running and waiting requests. */
  takeReport(running: number, waiting: number, now: number): void {
    this.others = Math.max(0, running + waiting - this.own);
    this.reportedAt = now;
    this.fade?.note(now);
  }

  /** Estimated requests at the target, running or waiting. */
  busyAt(now: number): number {
    if (this.reportedAt === undefined) return this.own;
    const age = now - this.reportedAt;
    if (age <= REPORT_FRESH_MS) return this.own + this.others;
    const staleMs = this.fade?.at(now) ?? REPORT_STALE_MS;
    const faded = Math.max(0, 1 - (age - REPORT_FRESH_MS) / (staleMs - REPORT_FRESH_MS));
    return this.own + this.others * faded;
  }
}
