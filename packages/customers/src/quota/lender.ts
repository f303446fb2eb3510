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

/** A pool created within this time after the process started, ms, begins with its initial tokens: the whole fleet may have started. */
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
  /** Kept while this instance is not the lender: their records of earlier use stay valid. */
  private readonly pools = new Map<CustomerName, TokenPool>();

  /** The customers for which this instance is the lender. */
  private readonly lending = new Set<CustomerName>();

  private customers: ReadonlyMap<CustomerName, Customer> = new Map();

  /** When each instance last made contact. */
  private readonly lastContactAt = new Map<InstanceId, number>();

  constructor(private readonly options: LenderOptions) {}

  /** Applies the customers of a configuration. */
  configure(customers: readonly Customer[]): void {
    this.customers = new Map(customers.map((customer) => [customer.name, customer]));
    this.pools.forEach((pool, name) => {
      const limit = this.customers.get(name)?.limit;
      if (!limit) this.forget(name);
      else pool.resize(quotaParts(limit, this.options.tolerance));
    });
    this.updatePools();
  }

  /** Starts and stops lending to the customers that this instance is or is no longer the lender of; call when the fleet changes. */
  updatePools(): void {
    this.customers.forEach(({ name, limit }) => {
      if (limit && this.options.isLender(name)) this.startLending(name, limit);
      else this.lending.delete(name);
    });
  }

  private forget(customer: CustomerName): void {
    this.pools.delete(customer);
    this.lending.delete(customer);
  }

  /** Records contact by an instance. */
  recordContact(borrower: InstanceId): void {
    this.lastContactAt.set(borrower, this.options.now());
  }

  /** Lends tokens to a borrower; undefined when another instance is the customer's lender. */
  lend(customer: CustomerName, borrower: InstanceId, need: TokenNeed): number | undefined {
    if (!this.lending.has(customer)) return undefined;
    const fractions = {
      limitFraction: this.fractionInContact(),
      borrowerFraction: 1 / Math.max(1, this.options.sharers().size),
    };
    return this.pools.get(customer)?.lend(borrower, need, fractions, this.options.now());
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

  private startLending(customer: CustomerName, limit: RateLimit): void {
    if (this.lending.has(customer)) return;
    this.lending.add(customer);
    const existing = this.pools.get(customer);
    if (existing?.hasLent) existing.resume(this.options.now());
    else this.pools.set(customer, this.newPool(limit));
  }

  /** A pool with the initial tokens if the fleet may have just started; tokens of the time before may have been lent by another instance. */
  private newPool(limit: RateLimit): TokenPool {
    const { tolerance, startedAt, now } = this.options;
    const parts = quotaParts(limit, tolerance);
    const isStarting = now() - startedAt < STARTUP_PERIOD_MS;
    return new TokenPool(
      parts,
      tolerance.windowMs,
      now(),
      isStarting ? parts.initialPoolTokens : 0,
    );
  }
}
