/**
 * The lent part of one customer's limit, kept by one instance. While tokens
 * are plenty they all lie with the instances that have the customer's callers,
 * by their demand, so that nobody is turned away until the limit is near. They
 * come at the limit's rate. What others hold counts as long as it may still be
 * used, and what they used counts for a whole window: together never more than
 * may come in one.
 */
import type { InstanceId } from '@cardamomladder/types';
import { RollingCount } from '@cardamomladder/steering';
import type { TokenNeed } from './allowance';
import { STOCK_LAPSES_MS } from './allowance';
import type { QuotaParts } from './quotaParts';
import { TokenBucket } from './tokenBucket';

/** What a borrower holds is counted for this long after its last word, ms: it has let it lapse by then. */
const HELD_COUNTS_MS = STOCK_LAPSES_MS + 1000;
/** A borrower's demand counts against the others' for this long, ms: it speaks more often while it has any. */
const DEMAND_COUNTS_MS = 2500;
/** Part of the tokens that lies with the borrowers; the rest is for callers that come to another one. */
const PART_LENT = 0.85;
/** Part of the tokens there are that one answer gives: borrowers that were not heard yet need some too. */
const PART_AT_A_TIME = 1 / 3;
/** Every borrower counts with at least this demand, requests a second: it has a caller. */
const LEAST_DEMAND = 1;
/** Tokens are whole: beside the burst, as many are lent to each borrower, or a small limit would leave most with none. */
const TOKENS_EACH = 3;
/** Tokens are called back from a borrower that holds this many times its part. */
const CALL_BACK_FROM = 1.5;

interface Borrower {
  held: number;
  demand: number;
  at: number;
}

/** One customer's pool. Times on the steady clock, ms. */
export class TokenPool {
  private readonly bucket: TokenBucket;

  private readonly borrowers = new Map<InstanceId, Borrower>();

  private readonly used: RollingCount;

  /** Tokens come from `from` on, beside those that it begins with. */
  constructor(
    private parts: QuotaParts,
    windowMs: number,
    from: number,
    tokens: number,
  ) {
    this.bucket = new TokenBucket(parts.pool, from, tokens);
    this.used = new RollingCount(windowMs);
  }

  /** Takes a changed limit. */
  resize(parts: QuotaParts): void {
    this.parts = parts;
  }

  /** What a borrower gets, or, below 0, is to give back, while `part` of the limit is lent here. */
  lend(
    id: InstanceId,
    { stock, back, shareUsed, demand, waiting }: TokenNeed,
    part: number,
    now: number,
  ): number {
    this.bucket.putBack(back, now);
    this.bucket.take(shareUsed, now);
    const heldBefore = this.borrowers.get(id)?.held ?? 0;
    this.used.add(now, Math.max(0, heldBefore - stock - back));
    const borrower = { held: stock, demand: Math.max(LEAST_DEMAND, demand), at: now };
    this.borrowers.set(id, borrower);
    const held = this.held(now);
    const available = this.available(part, held, now);
    const all = (available + held) * PART_LENT;
    // Where a customer has more instances than tokens, its requests get them as they come.
    const share = Math.max(waiting, Math.floor((all * borrower.demand) / this.demand(now)));
    if (stock > share * CALL_BACK_FROM) return share - stock;
    const atATime = Math.min(Math.floor(available), Math.ceil(available * PART_AT_A_TIME));
    const lent = this.bucket.take(Math.max(0, Math.min(share - stock, atATime)), now);
    borrower.held += lent;
    return lent;
  }

  /** Tokens that may be lent now. */
  private available(part: number, held: number, now: number): number {
    const { pool, poolMost } = this.parts;
    const burst = pool.burst * part + this.borrowers.size * TOKENS_EACH - held;
    this.bucket.resize({ perSecond: pool.perSecond * part, burst: Math.max(0, burst) }, now);
    const room = poolMost * part - held - this.used.total(now);
    return Math.min(this.bucket.tokens(now), Math.max(0, room));
  }

  private held(now: number): number {
    let held = 0;
    this.borrowers.forEach((borrower, id) => {
      if (now - borrower.at > HELD_COUNTS_MS) this.borrowers.delete(id);
      else held += borrower.held;
    });
    return held;
  }

  private demand(now: number): number {
    return [...this.borrowers.values()]
      .filter(({ at }) => now - at <= DEMAND_COUNTS_MS)
      .reduce((sum, { demand }) => sum + demand, 0);
  }
}
