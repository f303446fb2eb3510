/** Tells when a service has too few slots for what is asked of it. */

/** Part of the requests of a second that find no room, from which a service is contended: single full targets reject fewer. */
const MAX_FULL_FRACTION = 1 / 50;
/** A contention ends after this time without such a second, ms. */
const CALM_MS = 1000;

/** Whether a service is contended. */
export class Contention {
  private lastFullAt = -Infinity;

  /** Records the requests of the last second of the whole fleet, as far as heard; returns true if they found room. */
  observe({ asked, full }: { asked: number; full: number }, now: number): boolean {
    const findsRoom = full <= asked * MAX_FULL_FRACTION;
    if (!findsRoom) this.lastFullAt = now;
    return findsRoom;
  }

  /** True from the first second in which too many requests found no room until one second after the last. */
  isContended(now: number): boolean {
    return now - this.lastFullAt < CALM_MS;
  }
}
