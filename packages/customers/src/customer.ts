/** Customers as configured by the operators. */
import type { ApiKey, CustomerName, RegionName } from '@cardamomladder/types';

/** Request rate limit of one customer across the whole fleet. */
export interface RateLimit {
  perSecond: number;
  /** Requests allowed at once beyond the rate. */
  burst: number;
}

/** A customer and its settings. */
export interface Customer {
  name: CustomerName;
  /** API keys, any of which authenticates a caller; with none, no caller can authenticate as this customer. */
  keys: readonly ApiKey[];
  /** 0 is the most urgent; takes precedence over the route's priority. */
  priority?: number;
  /** Regions in which the customer's requests may be served; empty means any region. */
  homeRegions: readonly RegionName[];
  /** Unset means no limit. */
  limit?: RateLimit;
}
