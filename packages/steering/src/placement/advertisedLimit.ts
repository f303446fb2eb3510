/**
 * The limit that an overloaded target advertises in its responses: the number of
 * requests per second it accepts from all instances together, until a response says
 * otherwise.
 */
import type { LimitShare } from './limitShare';
import { SlidingWindowCounter } from './slidingWindowCounter';

/** Window over which sends are counted, ms. */
const SEND_WINDOW_MS = 4000;

/**
 * What one response says about the target's limit. Times are in milliseconds on the
 * monotonic clock.
 */
export interface LimitObservation {
  /** Requests per second; undefined if the response advertises no limit. */
  perSecond: number | undefined;
  /** True if the request ran. A refusal without a limit does not lift an earlier limit. */
  ran: boolean;
  /** When the request of this response was sent. */
  sentAt: number;
}

/** The limit of one target, as known to this instance. */
export class AdvertisedLimit {
  private current: number | undefined;

  private observedAt = -Infinity;

  /** When pacing started or the last paced request was sent. */
  private lastSendAt = -Infinity;

  /** `lastSendAt` before the last request. */
  private earlierSendAt = -Infinity;

  /** True until the first request is sent after a limit was advertised. */
  private awaitsFirstSend = false;

  private readonly sends = new SlidingWindowCounter(SEND_WINDOW_MS);

  /**
   * Requests per second that the target accepts from all instances; undefined if it
   * advertises no limit.
   */
  get perSecond(): number | undefined {
    return this.current;
  }

  /** Updates the limit from a response. Returns true if the limit changed. */
  observe({ perSecond, ran, sentAt }: LimitObservation, now: number): boolean {
    const previous = this.current;
    if (perSecond !== undefined) {
      if (previous === undefined) this.startPacing(now);
      this.observedAt = now;
      this.current = perSecond;
    } else if (ran && sentAt >= this.observedAt) {
      // A response to a request sent before the limit was observed does not lift it.
      this.current = undefined;
    }
    return this.current !== previous;
  }

  /**
   * Returns how long a request has to wait under this instance's share, ms;
   * 0 if it may be sent now.
   */
  waitMs({ intervalMs, initialDelayFraction }: LimitShare, now: number): number {
    if (this.current === undefined) return 0;
    const pauseMs = this.awaitsFirstSend ? intervalMs * initialDelayFraction : intervalMs;
    return Math.max(0, this.lastSendAt + pauseMs - now);
  }

  /** Records a request that is sent to the target, which delays the next one. */
  recordSend(now: number): void {
    this.sends.add(now);
    this.earlierSendAt = this.lastSendAt;
    this.lastSendAt = now;
    this.awaitsFirstSend = false;
  }

  /** Takes back the last recorded request, as it could not be sent. */
  cancelSend(now: number): void {
    this.sends.add(now, -1);
    this.lastSendAt = this.earlierSendAt;
  }

  /** This instance's sends of the last four seconds. */
  sentLately(now: number): number {
    return this.sends.total(now);
  }

  private startPacing(now: number): void {
    this.lastSendAt = now;
    this.awaitsFirstSend = true;
  }
}
