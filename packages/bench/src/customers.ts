/** CPU cost per request of identifying the customer by API key and of checking its rate limit. */
import type { Customer } from '@cardamomladder/customers';
import { LocalQuotas, customerTable, identify } from '@cardamomladder/customers';
import { apiKey, customerName, instanceId } from '@cardamomladder/types';

const REQUESTS = 200_000;
const KEYS_PER_CUSTOMER = 2;
const REQUESTS_PER_MS = 1000;

const syntheticCustomers = (keys: number): Customer[] =>
  Array.from({ length: keys / KEYS_PER_CUSTOMER }, (_, i) => ({
    name: customerName(`customer-${i}`),
    keys: [apiKey(`first-key-of-${i}`), apiKey(`second-key-of-${i}`)],
    homeRegions: [],
    limit: { perSecond: 100, burst: 100 },
  }));

/** CPU µs to identify the customer of one request and check its rate limit, with `keys` API keys. */
export const admissionMicros = (keys: number): number => {
  const customers = syntheticCustomers(keys);
  const table = customerTable(customers);
  const self = instanceId('i-1');
  const sharers = { ids: [self], size: 1 };
  let now = 0;
  const quotas = new LocalQuotas({
    self,
    tolerance: { windowMs: 5000, overage: 0.1, slack: 20 },
    sharers: () => sharers,
    startedAt: 0,
    now: () => now,
  });
  quotas.configure(customers);
  const before = process.cpuUsage();
  for (let i = 0; i < REQUESTS; i += 1) {
    now = i / REQUESTS_PER_MS;
    const { keys: customerKeys, name } = customers[(i * 7919) % customers.length];
    identify(table, { kind: 'key', key: customerKeys[i % KEYS_PER_CUSTOMER] }, false);
    quotas.of(name)?.take(now);
  }
  const { user, system } = process.cpuUsage(before);
  return (user + system) / REQUESTS;
};
