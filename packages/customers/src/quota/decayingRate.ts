/** Rate of recent events per second, as an exponentially decaying average. */

const MS_PER_SECOND = 1000;

/** Event rate over about the last `timeConstantMs`. */
export class DecayingRate {
  private rate = 0;

  private at = 0;

  constructor(private readonly timeConstantMs: number) {}

  /** Counts `n` events at `now` (ms). */
  add(now: number, n = 1): void {
    this.rate = this.perSecond(now) + (n * MS_PER_SECOND) / this.timeConstantMs;
    this.at = now;
  }

  /** Events per second at `now` (ms). */
  perSecond(now: number): number {
    return this.rate * Math.exp(-Math.max(0, now - this.at) / this.timeConstantMs);
  }
}
