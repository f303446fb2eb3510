/**
 * The limit that a target in need names in its answers: how many requests a
 * second it takes from all instances together, for as long as it says so.
 */
import type { LimitShare } from './limitShare';
import { RollingCount } from './rollingCount';

/** Sends are counted over this time, ms. */
const COUNTED_MS = 4000;

/** What one answer says of the target's limit. Times on the steady clock, ms. */
export interface HeardLimit {
  /** Requests per second; undefined where the answer names no limit. */
  perSecond: number | undefined;
  /** True for an answer to a request that ran; a refusal without a limit lifts none. */
  ran: boolean;
  /** When the request was sent that this answers. */
  sentAt: number;
}

/** One target's limit, as this instance has heard of it. */
export class NamedLimit {
  private named: number | undefined;

  private heardAt = -Infinity;

  /** When the pace began, or the last request went by it. */
  private pacedAt = -Infinity;

  /** True until the first request has gone since the limit was named. */
  private begins = false;

  private readonly sends = new RollingCount(COUNTED_MS);

  /** Requests per second that the target takes from all instances; undefined while it names no limit. */
  get perSecond(): number | undefined {
    return this.named;
  }

  /** Takes what an answer says; true if that changes the limit. */
  hear({ perSecond, ran, sentAt }: HeardLimit, now: number): boolean {
    const before = this.named;
    if (perSecond !== undefined) {
      if (before === undefined) this.begin(now);
      this.heardAt = now;
      this.named = perSecond;
    } else if (ran && sentAt >= this.heardAt) {
      // An answer that was on its way when the limit was named says nothing of it.
      this.named = undefined;
    }
    return this.named !== before;
  }

  /** How long a request has to wait by this instance's share, ms; 0 when it may go at once. */
  waitMs({ intervalMs, phase }: LimitShare, now: number): number {
    if (this.named === undefined) return 0;
    const pauseMs = this.begins ? intervalMs * phase : intervalMs;
    return Math.max(0, this.pacedAt + pauseMs - now);
  }

  /** Takes a place in the pace for a request that goes to the target. */
  take(now: number): void {
    this.sends.add(now);
    this.pacedAt = now;
    this.begins = false;
  }

  /** This instance's sends of the last four seconds. */
  sentLately(now: number): number {
    return this.sends.total(now);
  }

  private begin(now: number): void {
    this.pacedAt = now;
    this.begins = true;
  }
}
