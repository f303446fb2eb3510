/**
 * What one instance may take of one customer's requests now: its even share,
 * and tokens that were lent to it. A request that finds none waits for the
 * lender's answer, unless the lender has just had none to lend: a small customer
 * whose callers are spread over many instances leaves most of these without a
 * token, and would be turned away below its limit.
 */
import type { RateLimit } from '../customer';
import { FadingRate } from './fadingRate';
import { TokenBucket } from './tokenBucket';

/** Lent tokens lapse when the lender has not been heard for this long, ms. */
export const STOCK_LAPSES_MS = 4000;
/** Demand is taken over this time, ms: small customers ask an instance once in some seconds. */
const DEMAND_OVER_MS = 4000;
const LENT_OVER_MS = 1000;
/** Below this demand, requests a second, nothing is asked for, and what is held goes back. */
const IDLE_PER_SECOND = 0.02;
/** From this part of what was held after the last answer down, tokens are asked for. */
const ASK_BELOW = 0.8;
/** Shortest time between two questions for one customer, ms: the way to any region and back, and some. */
export const ASK_APART_MS = 100;
/** An instance that holds enough says so this often, ms: the lender counts on it. */
const TELL_EVERY_MS = 1200;
/** A request waits for a token no longer than this, ms: the lender's answer, and that to a second question. */
export const WAIT_MOST_MS = 200;
/** That the lender has nothing to lend, or did not answer, holds for this long, ms. */
const EXHAUSTED_MS = 300;
/** The longest time after which a caller is told to come back, ms. */
const RETRY_MOST_MS = 10_000;
/** The shortest, ms: tokens that were asked for come within this. */
const RETRY_LEAST_MS = 100;
/** The same before the lender has answered for the first time, ms: it does within a round. */
const RETRY_UNHEARD_MS = 300;
const MS_PER_SECOND = 1000;

/** What an instance tells a customer's lender. */
export interface TokenNeed {
  /** Lent tokens that are left. */
  stock: number;
  /** Lent tokens that it gives back, no longer among `stock`. */
  back: number;
  /** Tokens of its even share that were used since the last question. */
  shareUsed: number;
  /** The customer's requests a second there, taken or not. */
  demand: number;
  /** Requests that wait there for a token. */
  waiting: number;
}

/** Told to one request: whether it may go. */
type Decide = (isAdmitted: boolean) => void;

interface WaitingRequest {
  decide: Decide;
  until: number;
}

/** One customer at one instance. Times on the steady clock, ms. */
export class Allowance {
  private readonly floor: TokenBucket;

  private stock = 0;

  private shareUsed = 0;

  /** Lent tokens that the lender wants back. */
  private back = 0;

  /** What was held after the lender's last answer. */
  private stocked = 0;

  private heardAt = -Infinity;

  private askedAt = -Infinity;

  private readonly demand = new FadingRate(DEMAND_OVER_MS);

  private readonly lent = new FadingRate(LENT_OVER_MS);

  /** Requests that waited when the lender was last asked. */
  private askedFor = 0;

  /** When the lender last had nothing to lend, or did not answer. */
  private exhaustedAt = -Infinity;

  private waiting: WaitingRequest[] = [];

  /** The last moment for which a caller was told to come back. */
  private promisedAt = 0;

  constructor(
    private share: RateLimit,
    /** Since when the share has been this instance's. */
    from: number,
  ) {
    this.floor = new TokenBucket(share, from);
  }

  /** Changes the even share. */
  resize(share: RateLimit, now: number): void {
    this.share = share;
    this.floor.resize(share, now);
  }

  /** Takes one token; false when there is none. */
  take(now: number): boolean {
    this.demand.add(now);
    return this.takeToken(now);
  }

  /** Takes a token for a request, which waits for one if the lender may have some; `decide` is called once. */
  request(decide: Decide, now: number): void {
    if (this.take(now)) decide(true);
    else if (now - this.exhaustedAt < EXHAUSTED_MS) decide(false);
    else this.waiting.push({ decide, until: now + WAIT_MOST_MS });
  }

  /** Decides on the requests that have waited for long enough. */
  expire(now: number): void {
    this.settle(now);
    const due = this.waiting.filter(({ until }) => until <= now);
    this.waiting = this.waiting.filter(({ until }) => until > now);
    due.forEach(({ decide }) => decide(false));
  }

  /** How many requests wait. */
  get waits(): number {
    return this.waiting.length;
  }

  private settle(now: number): void {
    while (this.waiting.length > 0 && this.takeToken(now)) this.waiting.shift()?.decide(true);
    if (now - this.exhaustedAt >= EXHAUSTED_MS) return;
    this.waiting.splice(0).forEach(({ decide }) => decide(false));
  }

  private takeToken(now: number): boolean {
    this.lapse(now);
    // Lent ones first: a share that is left full is of use when the lender is lost.
    if (this.stock >= 1) {
      this.stock -= 1;
      return true;
    }
    const taken = this.floor.take(1, now);
    this.shareUsed += taken;
    return taken === 1;
  }

  /** Puts back the token of a request that did not run. */
  putBack(now: number): void {
    const tooMany = this.floor.putBack(1, now);
    this.stock += tooMany;
    this.shareUsed = Math.max(0, this.shareUsed - (1 - tooMany));
  }

  /** When the caller that was just turned away may come back, ms: callers are spread over the tokens that are due. */
  comeBackInMs(now: number): number {
    if (this.heardAt === -Infinity) return RETRY_UNHEARD_MS;
    const perMs = (this.share.perSecond + this.lent.perSecond(now)) / MS_PER_SECOND;
    const apartMs = perMs > 0 ? 1 / perMs : RETRY_MOST_MS;
    this.promisedAt = Math.min(now + RETRY_MOST_MS, Math.max(now, this.promisedAt) + apartMs);
    return Math.max(RETRY_LEAST_MS, this.promisedAt - now);
  }

  /** True when there is reason to ask the lender at once, rather than in the next round. */
  isShort(now: number): boolean {
    return this.stock < 1 && now - this.askedAt >= ASK_APART_MS;
  }

  /** What to tell the lender; undefined while there is nothing to say. */
  need(now: number): TokenNeed | undefined {
    // The answer to the last question is still under way.
    if (now - this.askedAt < ASK_APART_MS) return undefined;
    this.lapse(now);
    const demand = this.demand.perSecond(now);
    const waiting = this.waits;
    const isIdle = demand < IDLE_PER_SECOND && waiting === 0;
    if (isIdle) this.giveBack(this.stock);
    const { stock, back, shareUsed } = this;
    if (isIdle && back === 0 && shareUsed === 0) return undefined;
    const isLow = stock < this.stocked * ASK_BELOW || this.stocked === 0;
    if (!isLow && back === 0 && now - this.heardAt < TELL_EVERY_MS) return undefined;
    this.back = 0;
    this.shareUsed = 0;
    this.askedAt = now;
    this.askedFor = waiting;
    return { stock, back, shareUsed, demand: Number(demand.toFixed(2)), waiting };
  }

  /** Takes the lender's answer: tokens, or how many it wants back (below 0). */
  receive(tokens: number, now: number): void {
    this.heardAt = now;
    if (tokens < 0) this.giveBack(Math.min(this.stock, -tokens));
    else this.stock += tokens;
    this.stocked = this.stock;
    if (tokens > 0) this.lent.add(now, tokens);
    if (this.askedFor > 0 && tokens <= 0) this.exhaustedAt = now;
    this.settle(now);
  }

  /** Takes it that there is no lender, or that it did not answer. */
  unanswered(now: number): void {
    this.exhaustedAt = now;
    this.settle(now);
  }

  /** What it holds, for the log. */
  describe(now: number): { share: number; lentPerSecond: number; stock: number; demand: number } {
    return {
      share: this.share.perSecond,
      lentPerSecond: this.lent.perSecond(now),
      stock: this.stock,
      demand: this.demand.perSecond(now),
    };
  }

  private giveBack(tokens: number): void {
    this.stock -= tokens;
    this.back += tokens;
  }

  private lapse(now: number): void {
    if (now - this.heardAt <= STOCK_LAPSES_MS) return;
    this.stock = 0;
    this.back = 0;
  }
}
