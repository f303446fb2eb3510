/** Identifies the customer of a request by its API key. */
import type { ApiKey } from '@cardamomladder/types';
import type { Customer } from './customer';

/** Looks up the customer that an API key belongs to. */
export type CustomerTable = (key: ApiKey) => Customer | undefined;

/** Credentials of a request: an API key, none, or something that cannot be read as one key. */
export type Credentials = { kind: 'key'; key: ApiKey } | { kind: 'none' } | { kind: 'malformed' };

/** Result of identifying a caller; a request with kind `unknown` must be rejected. */
export type Identity =
  | { kind: 'customer'; customer: Customer }
  | { kind: 'anonymous' }
  | { kind: 'unknown'; message: string };

/** Builds the lookup table for the customers of one configuration. */
export const customerTable = (customers: readonly Customer[]): CustomerTable => {
  const byKey = new Map<ApiKey, Customer>();
  customers.forEach((customer) => customer.keys.forEach((key) => byKey.set(key, customer)));
  return (key) => byKey.get(key);
};

const REJECTION_MESSAGES: Record<Credentials['kind'], string> = {
  key: 'the key belongs to no customer; use one that the operators list for yours',
  none: 'the request carries no key; send the one that the operators gave you',
  malformed: 'the credentials are not exactly one key; send one in one header',
};

/** Identifies the caller of a route; on a public route, callers without a valid key are anonymous. */
export const identify = (
  customerOf: CustomerTable,
  credentials: Credentials,
  isPublic: boolean,
): Identity => {
  const customer = credentials.kind === 'key' ? customerOf(credentials.key) : undefined;
  if (customer) return { kind: 'customer', customer };
  if (isPublic) return { kind: 'anonymous' };
  return { kind: 'unknown', message: REJECTION_MESSAGES[credentials.kind] };
};
