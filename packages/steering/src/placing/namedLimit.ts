/**
 * The limit that a target in need names in its answers: how many requests a
 * second it takes from all instances together, for as long as it says so.
 */
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

  private readonly sends = new RollingCount(COUNTED_MS);

  /** Requests per second that the target takes from all instances; undefined while it names no limit. */
  get perSecond(): number | undefined {
    return this.named;
  }

  /** Takes what an answer says; true if that changes the limit. */
  hear({ perSecond, ran, sentAt }: HeardLimit, now: number): boolean {
    const before = this.named;
    if (perSecond !== undefined) {
      this.heardAt = now;
      this.named = perSecond;
    } else if (ran && sentAt >= this.heardAt) {
      // An answer that was on its way when the limit was named says nothing of it.
      this.named = undefined;
    }
    return this.named !== before;
  }

  /** Counts a send to the target. */
  countSend(now: number): void {
    this.sends.add(now);
  }

  /** This instance's sends of the last four seconds. */
  sentLately(now: number): number {
    return this.sends.total(now);
  }
}
