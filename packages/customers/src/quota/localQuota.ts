/**
 * One instance's quota for one customer: its guaranteed share of the limit and
 * the tokens lent to it. A request that finds no token waits for the lender's
 * response, unless the lender has just had nothing to lend. Without the wait, a
 * small customer whose callers are spread over many instances would be rejected
 * below its limit, because most of these instances hold no token.
 */
import type { RateLimit } from '../customer';
import { DecayingRate } from './decayingRate';
import { TokenBucket } from './tokenBucket';

/** Lent tokens expire when the lender has not responded for this long, ms. */
export const STOCK_EXPIRY_MS = 4000;
/** Time constant of the demand average, ms: an instance gets a small customer's requests seconds apart. */
const DEMAND_TIME_CONSTANT_MS = 4000;
const LENT_TIME_CONSTANT_MS = 1000;
/** Below this demand, requests per second, no tokens are requested and lent tokens are returned. */
const IDLE_DEMAND_PER_SECOND = 0.02;
/** Tokens are requested when the stock is below this fraction of the stock after the last response. */
const ASK_THRESHOLD = 0.8;
/** Minimum time between two token requests for one customer, ms: a round trip to any region plus a margin. */
export const MIN_ASK_INTERVAL_MS = 100;
/** An instance that holds enough tokens still reports to the lender at this interval, ms; the lender relies on it. */
const REPORT_INTERVAL_MS = 1200;
/** Maximum time a request waits for a token, ms: enough for the lender's responses to two token requests. */
export const MAX_WAIT_MS = 200;
/** After the lender had nothing to lend or did not respond, requests are rejected without waiting for this long, ms. */
const EXHAUSTED_PERIOD_MS = 300;
/** Longest retry delay given to a caller, ms. */
const MAX_RETRY_AFTER_MS = 10_000;
/** Shortest retry delay, ms: requested tokens arrive within this time. */
const MIN_RETRY_AFTER_MS = 100;
/** Retry delay before the lender's first response, ms; the lender responds within one round. */
const INITIAL_RETRY_AFTER_MS = 300;
const MS_PER_SECOND = 1000;

/** One customer's entry in a token request: what the instance holds, returns and needs. */
export interface TokenNeed {
  /** Lent tokens that the instance still holds. */
  stock: number;
  /** Lent tokens that are returned; not included in `stock`. */
  back: number;
  /** Tokens of the guaranteed share used since the last token request. */
  shareUsed: number;
  /** Time since a lender, this one or another, last responded, ms; undefined if none has. */
  sinceResponseMs?: number;
  /** The customer's requests per second at this instance, whether admitted or rejected. */
  demand: number;
  /** Requests waiting for a token at this instance. */
  waiting: number;
}

/** Receives the admission decision for one request. */
type Decide = (isAdmitted: boolean) => void;

interface WaitingRequest {
  decide: Decide;
  until: number;
}

/** Quota of one customer at one instance. Times are on the monotonic clock, ms. */
export class LocalQuota {
  private readonly guaranteed: TokenBucket;

  private stock = 0;

  private shareUsed = 0;

  /** Lent tokens to return to the lender with the next token request. */
  private back = 0;

  /** Lent tokens held after the lender's last response. */
  private stockAfterResponse = 0;

  private lastResponseAt = -Infinity;

  private lastAskedAt = -Infinity;

  private readonly demand = new DecayingRate(DEMAND_TIME_CONSTANT_MS);

  private readonly lent = new DecayingRate(LENT_TIME_CONSTANT_MS);

  /** Requests that were waiting at the last token request. */
  private waitingWhenAsked = 0;

  /** When the lender last had nothing to lend or did not respond. */
  private exhaustedAt = -Infinity;

  private waiting: WaitingRequest[] = [];

  /** Latest retry time given to a caller. */
  private lastRetryAt = 0;

  constructor(
    private share: RateLimit,
    /** When this instance's share became available. */
    from: number,
  ) {
    this.guaranteed = new TokenBucket(share, from);
  }

  /** Changes the guaranteed share. */
  resize(share: RateLimit, now: number): void {
    this.share = share;
    this.guaranteed.resize(share, now);
  }

  /** Takes one token; false when there is none. */
  take(now: number): boolean {
    this.demand.add(now);
    return this.takeToken(now);
  }

  /** Takes a token for a request, or queues it while the lender may have tokens; `decide` is called exactly once. */
  request(decide: Decide, now: number): void {
    if (this.take(now)) decide(true);
    else if (now - this.exhaustedAt < EXHAUSTED_PERIOD_MS) decide(false);
    else this.waiting.push({ decide, until: now + MAX_WAIT_MS });
  }

  /** Rejects requests that have reached their maximum wait, after admitting those for which there are tokens. */
  rejectExpired(now: number): void {
    this.resolveWaiting(now);
    const due = this.waiting.filter(({ until }) => until <= now);
    this.waiting = this.waiting.filter(({ until }) => until > now);
    due.forEach(({ decide }) => decide(false));
  }

  get waitingCount(): number {
    return this.waiting.length;
  }

  private resolveWaiting(now: number): void {
    while (this.waiting.length > 0 && this.takeToken(now)) this.waiting.shift()?.decide(true);
    if (now - this.exhaustedAt >= EXHAUSTED_PERIOD_MS) return;
    this.waiting.splice(0).forEach(({ decide }) => decide(false));
  }

  private takeToken(now: number): boolean {
    this.expireStock(now);
    // Lent tokens are used first: a full guaranteed share is the reserve for when the lender is lost.
    if (this.stock >= 1) {
      this.stock -= 1;
      return true;
    }
    const taken = this.guaranteed.take(1, now);
    this.shareUsed += taken;
    return taken === 1;
  }

  /** Returns the token of a request that was not executed. */
  refund(now: number): void {
    const notKept = this.guaranteed.refund(1, now);
    this.stock += notKept;
    this.shareUsed = Math.max(0, this.shareUsed - (1 - notKept));
  }

  /** Retry delay for the caller just rejected, ms; retries are spaced at the rate at which tokens arrive. */
  nextRetryAfterMs(now: number): number {
    if (this.lastResponseAt === -Infinity) return INITIAL_RETRY_AFTER_MS;
    const perMs = (this.share.perSecond + this.lent.perSecond(now)) / MS_PER_SECOND;
    const intervalMs = perMs > 0 ? 1 / perMs : MAX_RETRY_AFTER_MS;
    this.lastRetryAt = Math.min(
      now + MAX_RETRY_AFTER_MS,
      Math.max(now, this.lastRetryAt) + intervalMs,
    );
    return Math.max(MIN_RETRY_AFTER_MS, this.lastRetryAt - now);
  }

  /** True when tokens should be requested at once rather than in the next round. */
  shouldAskNow(now: number): boolean {
    return this.stock < 1 && now - this.lastAskedAt >= MIN_ASK_INTERVAL_MS;
  }

  /** Builds the customer's entry for the next token request; undefined while there is nothing to request or report. */
  need(now: number): TokenNeed | undefined {
    // The response to the last token request may still be in transit.
    if (now - this.lastAskedAt < MIN_ASK_INTERVAL_MS) return undefined;
    this.expireStock(now);
    const demand = this.demand.perSecond(now);
    const waiting = this.waitingCount;
    const isIdle = demand < IDLE_DEMAND_PER_SECOND && waiting === 0;
    if (isIdle) this.returnToLender(this.stock);
    const { stock, back, shareUsed } = this;
    if (isIdle && back === 0 && shareUsed === 0) return undefined;
    const isLow = stock < this.stockAfterResponse * ASK_THRESHOLD || this.stockAfterResponse === 0;
    if (!isLow && back === 0 && now - this.lastResponseAt < REPORT_INTERVAL_MS) return undefined;
    this.back = 0;
    this.shareUsed = 0;
    const sinceResponseMs =
      this.lastResponseAt === -Infinity ? undefined : Math.round(now - this.lastResponseAt);
    this.lastAskedAt = now;
    this.waitingWhenAsked = waiting;
    return {
      stock,
      back,
      shareUsed,
      sinceResponseMs,
      demand: Number(demand.toFixed(2)),
      waiting,
    };
  }

  /** Handles the lender's response: tokens lent, or, if below 0, the number to return. */
  receive(tokens: number, now: number): void {
    this.lastResponseAt = now;
    if (tokens < 0) this.returnToLender(Math.min(this.stock, -tokens));
    else this.stock += tokens;
    this.stockAfterResponse = this.stock;
    if (tokens > 0) this.lent.add(now, tokens);
    if (this.waitingWhenAsked > 0 && tokens <= 0) this.exhaustedAt = now;
    this.resolveWaiting(now);
  }

  /** Records that there is no lender or that it did not respond. */
  unanswered(now: number): void {
    this.exhaustedAt = now;
    this.resolveWaiting(now);
  }

  /** State of the quota for the log. */
  describe(now: number): { share: number; lentPerSecond: number; stock: number; demand: number } {
    return {
      share: this.share.perSecond,
      lentPerSecond: this.lent.perSecond(now),
      stock: this.stock,
      demand: this.demand.perSecond(now),
    };
  }

  private returnToLender(tokens: number): void {
    this.stock -= tokens;
    this.back += tokens;
  }

  private expireStock(now: number): void {
    if (now - this.lastResponseAt <= STOCK_EXPIRY_MS) return;
    this.stock = 0;
    this.back = 0;
  }
}
