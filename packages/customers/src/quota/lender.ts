/**
 * The token pools of the customers for which this instance is the lender.
 *
 * Lenders are not selected by consensus: instances with different views of the
 * fleet may use two lenders for one customer, one on each side of a network
 * partition. A lender therefore lends only the fraction of a limit that
 * corresponds to the fraction of the fleet in contact with it. An instance asks
 * only one lender for a customer, so these fractions add up to the limit.
 */
import type { SharingInstances } from '@cardamomladder/steering';
import type { CustomerName, InstanceId } from '@cardamomladder/types';
import type { Customer, RateLimit } from '../customer';
import type { TokenNeed } from './localQuota';
import type { QuotaTolerance } from './quotaParts';
import { quotaParts } from './quotaParts';
import { TokenPool } from './tokenPool';

/** An instance contacts a lender at least this often, ms, whether or not it needs tokens. */
export const CONTACT_INTERVAL_MS = 700;
/** An instance that has not made contact for this long, ms, may be asking another lender. */
const CONTACT_EXPIRY_MS = 1500;

/**
 * An instance that becomes a lender within this time after its start, ms, was the
 * lender before its restart or started with the whole fleet; either way, no other
 * instance has lent since it started.
 */
const STARTUP_PERIOD_MS = 2000;

/** Dependencies of a lender. */
export interface LenderOptions {
  self: InstanceId;
  tolerance: QuotaTolerance;
  /** True while this instance is the customer's lender in its own view of the fleet. */
  isLender: (customer: CustomerName) => boolean;
  /** The instances among which limits are divided. */
  sharers: () => SharingInstances;
  /** When this process started, ms. */
  startedAt: number;
  /** Monotonic clock, ms. */
  now: () => number;
}

/** Lends tokens of the customers for which this instance is the lender. */
export class Lender {
  private readonly pools = new Map<CustomerName, TokenPool>();

  private customers: ReadonlyMap<CustomerName, Customer> = new Map();

  /** When each instance last made contact. */
  private readonly lastContactAt = new Map<InstanceId, number>();

  constructor(private readonly options: LenderOptions) {}

  /** Applies the customers of a configuration. */
  configure(customers: readonly Customer[]): void {
    this.customers = new Map(customers.map((customer) => [customer.name, customer]));
    this.pools.forEach((pool, name) => {
      const limit = this.customers.get(name)?.limit;
      if (!limit) this.pools.delete(name);
      else pool.resize(quotaParts(limit, this.options.tolerance));
    });
    this.updatePools();
  }

  /** Creates and removes pools for the customers that this instance now lends to; call when the fleet changes. */
  updatePools(): void {
    this.customers.forEach(({ name, limit }) => {
      if (limit && this.options.isLender(name)) this.poolOf(name, limit);
      else this.pools.delete(name);
    });
  }

  /** Records contact by an instance. */
  recordContact(borrower: InstanceId): void {
    this.lastContactAt.set(borrower, this.options.now());
  }

  /** Lends tokens to a borrower; undefined when another instance is the customer's lender. */
  lend(customer: CustomerName, borrower: InstanceId, need: TokenNeed): number | undefined {
    return this.pools
      .get(customer)
      ?.lend(borrower, need, this.fractionInContact(), this.options.now());
  }

  /** The fraction of the fleet that is in contact with this lender. */
  private fractionInContact(): number {
    const { self, sharers, now } = this.options;
    const { ids, size } = sharers();
    const since = now() - CONTACT_EXPIRY_MS;
    this.lastContactAt.forEach((at, id) => {
      if (at < since) this.lastContactAt.delete(id);
    });
    const inContact = ids.filter((id) => id === self || this.lastContactAt.has(id));
    return Math.max(1, inContact.length) / Math.max(1, size);
  }

  private poolOf(customer: CustomerName, limit: RateLimit): TokenPool {
    const existing = this.pools.get(customer);
    if (existing) return existing;
    const { tolerance, startedAt, now } = this.options;
    const isStarting = now() - startedAt < STARTUP_PERIOD_MS;
    const from = isStarting ? startedAt : now();
    const parts = quotaParts(limit, tolerance);
    const tokens = isStarting ? parts.initialPoolTokens : 0;
    const pool = new TokenPool(parts, tolerance.windowMs, from, tokens);
    this.pools.set(customer, pool);
    return pool;
  }
}
