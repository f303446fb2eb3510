/**
 * The lent part of one customer's limit, managed by one instance. Tokens accrue
 * at the limit's rate. While there are enough, most are lent in advance to the
 * instances that have the customer's callers, in proportion to their demand, so
 * that no request is rejected until the limit is near. Tokens that borrowers
 * hold count for as long as they can still be used, and used tokens count for a
 * whole window; together they never exceed what one window allows.
 */
import type { InstanceId } from '@cardamomladder/types';
import { SlidingWindowCounter } from '@cardamomladder/steering';
import type { TokenNeed } from './localQuota';
import { MIN_ASK_INTERVAL_MS, STOCK_EXPIRY_MS } from './localQuota';
import type { QuotaParts } from './quotaParts';
import { TokenBucket } from './tokenBucket';

/** Time after a borrower's last token request for which its tokens count as held, ms; by then it has expired them. */
const HELD_EXPIRY_MS = STOCK_EXPIRY_MS + 1000;
/** Time for which a borrower's demand counts, ms; a borrower with demand sends token requests more often than this. */
const DEMAND_EXPIRY_MS = 2500;
/** Fraction of the tokens lent to the current borrowers; the rest is for callers that arrive at another instance. */
const LENT_FRACTION = 0.85;
/** Maximum fraction of the available tokens lent per response, to leave some for borrowers not yet known. */
const MAX_FRACTION_PER_RESPONSE = 1 / 3;
/** Minimum demand assumed for every borrower, requests per second, because each has at least one caller. */
const MIN_DEMAND = 1;
/** Tokens lent per borrower beyond the burst, as far as the tolerance allows: tokens are whole, so a small limit would leave most borrowers with none. */
const EXTRA_TOKENS_PER_BORROWER = 3;
/** Tokens are recalled from a borrower that holds more than this multiple of its fair share. */
const RECALL_FACTOR = 1.5;
/** Time between a borrower's token request and the response to it, ms. */
const MAX_ROUND_TRIP_MS = MIN_ASK_INTERVAL_MS;
const MS_PER_SECOND = 1000;

/** The fractions of the limit that one request concerns. */
export interface LentFractions {
  /** The fraction that this lender may lend. */
  limitFraction: number;
  /** The part of it that is due to the borrower's contact. */
  borrowerFraction: number;
}

interface Borrower {
  held: number;
  demand: number;
  at: number;
}

/** Token pool of one customer. Times are on the monotonic clock, ms. */
export class TokenPool {
  private bucket: TokenBucket;

  private lentAny = false;

  private resumedAt = -Infinity;

  private readonly borrowers = new Map<InstanceId, Borrower>();

  private readonly used: SlidingWindowCounter;

  /** Starts with `tokens` at `now`. */
  constructor(
    private parts: QuotaParts,
    windowMs: number,
    now: number,
    tokens: number,
  ) {
    this.bucket = new TokenBucket(parts.pool, now, tokens);
    this.used = new SlidingWindowCounter(windowMs);
  }

  /** True once tokens have been lent. */
  get hasLent(): boolean {
    return this.lentAny;
  }

  /** Continues after another instance was the lender and lent the tokens that accrued since. */
  resume(now: number): void {
    this.bucket = new TokenBucket(this.parts.pool, now);
    this.resumedAt = now;
  }

  /** Applies a changed limit. */
  resize(parts: QuotaParts): void {
    this.parts = parts;
  }

  /** Returns the tokens lent, or, if below 0, to be returned, when this instance lends `limitFraction` of the limit. */
  lend(
    id: InstanceId,
    { stock, back, shareUsed, sinceResponseMs, demand, waiting }: TokenNeed,
    { limitFraction, borrowerFraction }: LentFractions,
    now: number,
  ): number {
    const previous = this.borrowers.get(id);
    this.deductAccruedElsewhere(previous, sinceResponseMs, borrowerFraction, now);
    this.bucket.refund(back, now);
    this.bucket.debit(shareUsed, now);
    const heldBefore = previous?.held ?? 0;
    this.used.add(now, Math.max(0, heldBefore - stock - back));
    const borrower = { held: stock, demand: Math.max(MIN_DEMAND, demand), at: now };
    this.borrowers.set(id, borrower);
    const held = this.held(now);
    const available = this.available(limitFraction, held, now);
    const lendable = (available + held) * LENT_FRACTION;
    // When a customer has more instances than tokens, tokens are lent for waiting requests as these arrive.
    const fairShare = Math.max(
      waiting,
      Math.floor((lendable * borrower.demand) / this.demand(now)),
    );
    if (stock > fairShare * RECALL_FACTOR) return fairShare - stock;
    const maxPerResponse = Math.min(
      Math.floor(available),
      Math.ceil(available * MAX_FRACTION_PER_RESPONSE),
    );
    const lent = this.bucket.take(Math.max(0, Math.min(fairShare - stock, maxPerResponse)), now);
    borrower.held += lent;
    this.lentAny ||= lent > 0;
    return lent;
  }

  /**
   * Removes the tokens that accrued here while the borrower was served by another
   * lender, where its part of the limit accrued, too. Instances whose views of
   * the fleet change change lenders, and each lender counts a borrower for a
   * while after it has left.
   */
  private deductAccruedElsewhere(
    previous: Borrower | undefined,
    sinceResponseMs: number | undefined,
    borrowerFraction: number,
    now: number,
  ): void {
    if (!previous || sinceResponseMs === undefined) return;
    const accruingSince = Math.max(previous.at, this.resumedAt);
    const elsewhereMs = now - accruingSince - sinceResponseMs - MAX_ROUND_TRIP_MS;
    if (elsewhereMs <= 0) return;
    const accrued = (this.parts.pool.perSecond * borrowerFraction * elsewhereMs) / MS_PER_SECOND;
    this.bucket.debit(Math.min(accrued, Math.max(0, this.bucket.tokens(now))), now);
  }

  /** Tokens that can be lent now. */
  private available(limitFraction: number, held: number, now: number): number {
    const { pool, maxPoolPerWindow } = this.parts;
    const extraTokens = Math.min(
      this.borrowers.size * EXTRA_TOKENS_PER_BORROWER,
      this.parts.maxExtraTokens,
    );
    const burst = pool.burst * limitFraction + extraTokens - held;
    this.bucket.resize(
      { perSecond: pool.perSecond * limitFraction, burst: Math.max(0, burst) },
      now,
    );
    const windowRemaining = maxPoolPerWindow * limitFraction - held - this.used.total(now);
    return Math.min(this.bucket.tokens(now), Math.max(0, windowRemaining));
  }

  private held(now: number): number {
    let held = 0;
    this.borrowers.forEach((borrower, id) => {
      if (now - borrower.at > HELD_EXPIRY_MS) this.borrowers.delete(id);
      else held += borrower.held;
    });
    return held;
  }

  private demand(now: number): number {
    return [...this.borrowers.values()]
      .filter(({ at }) => now - at <= DEMAND_EXPIRY_MS)
      .reduce((sum, { demand }) => sum + demand, 0);
  }
}
