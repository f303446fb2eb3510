/**
 * For how long a target's report of its load counts, by how often reports come.
 *
 * The load this answers: fleets in which many instances share hundreds of
 * targets, so that each one hears from a target every ten seconds or so. With
 * a fixed time, a report is forgotten long before the next one, and nearly
 * every target looks empty: where an instance saw none of a target's slots in
 * use, two thirds were (3,267 sends on a played day of 27 instances and 330
 * targets). Requests then queue at targets that are full with others' requests.
 * Which targets are full changes slowly, with the objects that they serve.
 */
import { RollingCount } from './rollingCount';

/** A report counts for at least this long, ms. */
export const REPORT_STALE_MS = 2500;
/** A report counts at most for this long, ms: loads move with waves of half a minute. */
const STALE_MOST_MS = 15_000;
/** Reports' usual intervals for which one counts: the next one is then mostly there before. */
const INTERVALS = 2;
/** Reports are counted over this time, ms. */
const COUNTED_MS = 10_000;
/** The figure is worked out anew after this, ms. */
const KEPT_MS = 500;

/** How long the reports of one service's targets count at this instance. */
export class ReportFade {
  private readonly reports = new RollingCount(COUNTED_MS);

  private staleMs = REPORT_STALE_MS;

  private workedOutAt = -Infinity;

  /** `targets`: how many the service has. */
  constructor(private readonly targets: () => number) {}

  /** Notes that a report came. */
  note(now: number): void {
    this.reports.add(now);
  }

  /** The age from which a report says nothing, ms. */
  at(now: number): number {
    if (now - this.workedOutAt < KEPT_MS) return this.staleMs;
    this.workedOutAt = now;
    const usualMs = (COUNTED_MS * this.targets()) / Math.max(1, this.reports.total(now));
    this.staleMs = Math.min(STALE_MOST_MS, Math.max(REPORT_STALE_MS, INTERVALS * usualMs));
    return this.staleMs;
  }
}
