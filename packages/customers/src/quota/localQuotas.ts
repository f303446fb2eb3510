/** This instance's quotas for all customers that have a limit. */
import type { SharingInstances } from '@cardamomladder/steering';
import type { CustomerName, InstanceId } from '@cardamomladder/types';
import type { Customer, RateLimit } from '../customer';
import type { TokenNeed } from './localQuota';
import { LocalQuota } from './localQuota';
import { guaranteedShare } from './guaranteedShare';
import type { QuotaTolerance } from './quotaParts';
import { quotaParts } from './quotaParts';

/** Dependencies of an instance's quotas. */
export interface LocalQuotaOptions {
  self: InstanceId;
  tolerance: QuotaTolerance;
  /** The instances among which limits are divided; returns the same object until they change. */
  sharers: () => SharingInstances;
  /** When this process started; tokens of the guaranteed share that accrued since then are unused. */
  startedAt: number;
  /** Monotonic clock, ms. */
  now: () => number;
}

interface CustomerQuota {
  customer: Customer;
  quota: LocalQuota;
  /** The instances for which the share was computed. */
  sharers: SharingInstances;
}

/** Quotas by customer, created at a customer's first request. */
export class LocalQuotas {
  private readonly entries = new Map<CustomerName, CustomerQuota>();

  private customers: ReadonlyMap<CustomerName, Customer> = new Map();

  /** When each customer's limit took effect; a limit that is removed and added again starts anew. */
  private limitedSince: Map<CustomerName, number> | undefined;

  constructor(private readonly options: LocalQuotaOptions) {}

  /** Applies the customers of a configuration; a lower limit takes effect at once. */
  configure(customers: readonly Customer[]): void {
    const limited = customers.filter(({ limit }) => limit !== undefined);
    const since = this.limitedSince;
    const from = since ? this.options.now() : this.options.startedAt;
    this.limitedSince = new Map(limited.map(({ name }) => [name, since?.get(name) ?? from]));
    this.customers = new Map(limited.map((customer) => [customer.name, customer]));
    this.entries.forEach((entry, name) => {
      const customer = this.customers.get(name);
      if (customer) this.share(Object.assign(entry, { customer }));
      else this.entries.delete(name);
    });
  }

  /** Returns the quota of a customer; undefined when it has no limit. */
  of(name: CustomerName): LocalQuota | undefined {
    const customer = this.customers.get(name);
    if (!customer) return undefined;
    const sharers = this.options.sharers();
    const entry = this.entries.get(name) ?? this.add(customer, sharers);
    if (entry.sharers !== sharers) this.share(Object.assign(entry, { sharers }));
    return entry.quota;
  }

  /** Builds the entries for the next token requests, by customer. */
  needs(): Map<CustomerName, TokenNeed> {
    const needs = new Map<CustomerName, TokenNeed>();
    this.entries.forEach(({ quota }, name) => {
      const need = quota.need(this.options.now());
      if (need) needs.set(name, need);
    });
    return needs;
  }

  private add(customer: Customer, sharers: SharingInstances): CustomerQuota {
    const since = this.limitedSince?.get(customer.name) ?? this.options.now();
    const quota = new LocalQuota(this.shareOf(customer, sharers), since);
    const entry = { customer, quota, sharers };
    this.entries.set(customer.name, entry);
    return entry;
  }

  private share({ customer, quota, sharers }: CustomerQuota): void {
    quota.resize(this.shareOf(customer, sharers), this.options.now());
  }

  private shareOf({ name, limit }: Customer, { ids, size }: SharingInstances): RateLimit {
    const { self, tolerance } = this.options;
    const { guaranteed } = quotaParts(limit ?? { perSecond: 0, burst: 0 }, tolerance);
    return guaranteedShare(name, guaranteed, self, ids, size);
  }
}
