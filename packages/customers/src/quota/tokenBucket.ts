/** Token bucket on the monotonic clock; empty at the start by default, so that a restart does not allow a new burst. */
import type { RateLimit } from '../customer';

const MS_PER_SECOND = 1000;

/** Refills at the rate of a limit, up to its burst. */
export class TokenBucket {
  constructor(
    private limit: RateLimit,
    private at: number,
    private level = 0,
  ) {}

  /** Changes the rate and the capacity; tokens beyond the new capacity are dropped. */
  resize(limit: RateLimit, now: number): void {
    this.refill(now);
    this.limit = limit;
    this.level = Math.min(this.level, limit.burst);
  }

  /** Tokens at `now` (ms), including fractions. */
  tokens(now: number): number {
    this.refill(now);
    return this.level;
  }

  /** Takes up to `max` whole tokens and returns how many were taken. */
  take(max: number, now: number): number {
    const taken = Math.max(0, Math.min(max, Math.floor(this.tokens(now))));
    this.level -= taken;
    return taken;
  }

  /** Removes `tokens`, also if there are fewer; later tokens make up for the rest. */
  debit(tokens: number, now: number): void {
    this.refill(now);
    this.level -= tokens;
  }

  /** Returns unused tokens to the bucket; the result is how many exceeded its capacity. */
  refund(tokens: number, now: number): number {
    this.refill(now);
    const kept = Math.max(0, Math.min(tokens, Math.floor(this.limit.burst - this.level)));
    this.level += kept;
    return tokens - kept;
  }

  private refill(now: number): void {
    const elapsedMs = Math.max(0, now - this.at);
    this.at = Math.max(this.at, now);
    const filled = this.level + (this.limit.perSecond * elapsedMs) / MS_PER_SECOND;
    this.level = Math.min(this.limit.burst, filled);
  }
}
