/**
 * Limits how fast the fraction of an instance's traffic that spills over to other
 * regions rises and falls. In a burst all targets of a region are full at once.
 * Without a limit, a third of its requests would change regions within a second, and
 * back when the burst ends, but every shift of traffic has to stay under its limit. So
 * the fraction follows demand at a bounded rate, both when it rises and when it falls,
 * and requests spill over according to that fraction.
 */

/**
 * Maximum change of the fraction per second. Together with the unramped fraction and
 * the credit accumulated during a pause, the fraction changes by 0.14 within the two
 * seconds for which shifts are limited to 0.15, at 100 requests per second.
 */
const MAX_CHANGE_PER_SECOND = 0.04;
/**
 * Fraction that may spill over without ramping up, so that a single full target is
 * relieved at once.
 */
const UNRAMPED_FRACTION = 0.04;
/** Time constant of the moving average of demand, ms. */
const DEMAND_WINDOW_MS = 1000;
/**
 * Credit from which a request spills over although its region has capacity: one that
 * needed to would already have used the credit.
 */
const SUSTAINED_CREDIT = 2;
/**
 * Maximum credit: one above the sustained credit, otherwise its fractions are lost and
 * the fraction falls too fast.
 */
const MAX_CREDIT = 3;
const MS_PER_SECOND = 1000;

/** The cross-region spillover of one instance's requests. */
export class CrossRegionSpillover {
  /** Fraction of requests that currently spills over. */
  private fraction = 0;

  /** Fraction of recent requests that found no capacity in their region. */
  private wantedFraction = 0;

  /** Number of requests that may spill over now. */
  private credit = 0;

  private at: number | undefined;

  /**
   * Decides for one request at `now` (in milliseconds) whether it spills over to
   * another region. `needed` is true if it found no capacity in its own region;
   * otherwise it only spills over to keep the fraction from falling too fast.
   */
  admit(now: number, needed: boolean): boolean {
    this.update(now, needed);
    this.credit = Math.min(MAX_CREDIT, this.credit + Math.max(UNRAMPED_FRACTION, this.fraction));
    const sustained = this.fraction > UNRAMPED_FRACTION && this.credit >= SUSTAINED_CREDIT;
    const spills = needed ? this.credit >= 1 : sustained;
    if (spills) this.credit -= 1;
    return spills;
  }

  private update(now: number, needed: boolean): void {
    const elapsedMs = now - (this.at ?? now);
    this.at = now;
    const weight = 1 - Math.exp(-elapsedMs / DEMAND_WINDOW_MS);
    this.wantedFraction += weight * ((needed ? 1 : 0) - this.wantedFraction);
    const maxChange = (MAX_CHANGE_PER_SECOND * elapsedMs) / MS_PER_SECOND;
    this.fraction += Math.max(-maxChange, Math.min(maxChange, this.wantedFraction - this.fraction));
  }
}
