/** This instance's allowances of all customers that have a limit. */
import type { Sharers } from '@cardamomladder/steering';
import type { CustomerName, InstanceId } from '@cardamomladder/types';
import type { Customer, RateLimit } from '../customer';
import type { TokenNeed } from './allowance';
import { Allowance } from './allowance';
import { floorShare } from './floorShare';
import type { QuotaTolerance } from './quotaParts';
import { quotaParts } from './quotaParts';

/** What allowances need to know of the fleet. */
export interface AllowanceOptions {
  self: InstanceId;
  tolerance: QuotaTolerance;
  /** The same object until it changes. */
  holders: () => Sharers;
  /** When this process started: what came due since then was used by nobody here. */
  startedAt: number;
  /** Steady clock, ms. */
  now: () => number;
}

interface Kept {
  customer: Customer;
  allowance: Allowance;
  /** What the share was worked out for. */
  sharedBy: Sharers;
}

/** Allowances by customer, made when a customer's first request comes. */
export class Allowances {
  private readonly kept = new Map<CustomerName, Kept>();

  private customers: ReadonlyMap<CustomerName, Customer> = new Map();

  /** Since when each customer has been limited; one that is taken away and put back begins anew. */
  private limitedSince: Map<CustomerName, number> | undefined;

  constructor(private readonly options: AllowanceOptions) {}

  /** Takes the customers of a configuration; a lower limit binds at once. */
  configure(customers: readonly Customer[]): void {
    const limited = customers.filter(({ limit }) => limit !== undefined);
    const since = this.limitedSince;
    const from = since ? this.options.now() : this.options.startedAt;
    this.limitedSince = new Map(limited.map(({ name }) => [name, since?.get(name) ?? from]));
    this.customers = new Map(limited.map((customer) => [customer.name, customer]));
    this.kept.forEach((kept, name) => {
      const customer = this.customers.get(name);
      if (customer) this.share(Object.assign(kept, { customer }));
      else this.kept.delete(name);
    });
  }

  /** The allowance of a customer; undefined when it has no limit. */
  of(name: CustomerName): Allowance | undefined {
    const customer = this.customers.get(name);
    if (!customer) return undefined;
    const sharedBy = this.options.holders();
    const kept = this.kept.get(name) ?? this.add(customer, sharedBy);
    if (kept.sharedBy !== sharedBy) this.share(Object.assign(kept, { sharedBy }));
    return kept.allowance;
  }

  /** What to tell the lenders. */
  needs(): Map<CustomerName, TokenNeed> {
    const needs = new Map<CustomerName, TokenNeed>();
    this.kept.forEach(({ allowance }, name) => {
      const need = allowance.need(this.options.now());
      if (need) needs.set(name, need);
    });
    return needs;
  }

  private add(customer: Customer, sharedBy: Sharers): Kept {
    const since = this.limitedSince?.get(customer.name) ?? this.options.now();
    const allowance = new Allowance(this.shareOf(customer, sharedBy), since);
    const kept = { customer, allowance, sharedBy };
    this.kept.set(customer.name, kept);
    return kept;
  }

  private share({ customer, allowance, sharedBy }: Kept): void {
    allowance.resize(this.shareOf(customer, sharedBy), this.options.now());
  }

  private shareOf({ name, limit }: Customer, { ids, size }: Sharers): RateLimit {
    const { self, tolerance } = this.options;
    const { floor } = quotaParts(limit ?? { perSecond: 0, burst: 0 }, tolerance);
    return floorShare(name, floor, self, ids, size);
  }
}
