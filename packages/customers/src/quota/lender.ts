/**
 * The pools that this instance keeps.
 *
 * Nobody has to agree on who lends: instances that see the fleet differently
 * may have two lenders for one customer, on both sides of a cut. So a lender
 * hands out only the part of a limit that goes with the part of the fleet
 * that is in touch with it; whoever asks one does not ask the other, and the
 * parts add up to the limit.
 */
import type { Sharers } from '@cardamomladder/steering';
import type { CustomerName, InstanceId } from '@cardamomladder/types';
import type { Customer, RateLimit } from '../customer';
import type { TokenNeed } from './allowance';
import type { QuotaTolerance } from './quotaParts';
import { quotaParts } from './quotaParts';
import { TokenPool } from './tokenPool';

/** An instance speaks to a lender at least this often, ms, whether or not it needs tokens. */
export const IN_TOUCH_EVERY_MS = 700;
/** One that has not spoken for this long, ms, may be asking another lender. */
const IN_TOUCH_MS = 1500;

/**
 * One that finds itself keeper so soon after its start, ms, was it before or
 * started with the whole fleet: nobody else has lent since its start.
 */
const STARTING_MS = 2000;

/** What lending needs to know of the fleet. */
export interface LenderOptions {
  self: InstanceId;
  tolerance: QuotaTolerance;
  /** True while this instance is the customer's keeper, as far as it knows. */
  isKeeper: (customer: CustomerName) => boolean;
  /** The instances that take callers. */
  holders: () => Sharers;
  /** When this process started. */
  startedAt: number;
  /** Steady clock, ms. */
  now: () => number;
}

/** Lends tokens of the customers that this instance keeps. */
export class Lender {
  private readonly pools = new Map<CustomerName, TokenPool>();

  private customers: ReadonlyMap<CustomerName, Customer> = new Map();

  /** When each instance last spoke to this one. */
  private readonly spokeAt = new Map<InstanceId, number>();

  constructor(private readonly options: LenderOptions) {}

  /** Takes the customers of a configuration. */
  configure(customers: readonly Customer[]): void {
    this.customers = new Map(customers.map((customer) => [customer.name, customer]));
    this.pools.forEach((pool, name) => {
      const limit = this.customers.get(name)?.limit;
      if (!limit) this.pools.delete(name);
      else pool.resize(quotaParts(limit, this.options.tolerance));
    });
    this.review();
  }

  /** Looks which customers this instance keeps now; to be called when the fleet has changed. */
  review(): void {
    this.customers.forEach(({ name, limit }) => {
      if (limit && this.options.isKeeper(name)) this.poolOf(name, limit);
      else this.pools.delete(name);
    });
  }

  /** Notes that an instance is in touch. */
  hear(borrower: InstanceId): void {
    this.spokeAt.set(borrower, this.options.now());
  }

  /** Lends to a borrower; undefined where it must ask another instance. */
  lend(customer: CustomerName, borrower: InstanceId, need: TokenNeed): number | undefined {
    return this.pools.get(customer)?.lend(borrower, need, this.partInTouch(), this.options.now());
  }

  /** The part of the fleet's callers that this lender lends for. */
  private partInTouch(): number {
    const { self, holders, now } = this.options;
    const { ids, size } = holders();
    const since = now() - IN_TOUCH_MS;
    this.spokeAt.forEach((at, id) => {
      if (at < since) this.spokeAt.delete(id);
    });
    const inTouch = ids.filter((id) => id === self || this.spokeAt.has(id));
    return Math.max(1, inTouch.length) / Math.max(1, size);
  }

  private poolOf(customer: CustomerName, limit: RateLimit): TokenPool {
    const known = this.pools.get(customer);
    if (known) return known;
    const { tolerance, startedAt, now } = this.options;
    const isStarting = now() - startedAt < STARTING_MS;
    const from = isStarting ? startedAt : now();
    const parts = quotaParts(limit, tolerance);
    const tokens = isStarting ? parts.poolAtStart : 0;
    const pool = new TokenPool(parts, tolerance.windowMs, from, tokens);
    this.pools.set(customer, pool);
    return pool;
  }
}
