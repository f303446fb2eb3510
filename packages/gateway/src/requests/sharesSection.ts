/** What instances tell each other of the demand on services, so that all divide a contended one's slots alike. */
import { z } from 'zod';
import type { ServiceDemand } from '@cardamomladder/steering';
import { largestOf } from '@cardamomladder/steering';
import type { Section } from '../peers/exchange';

const MAX_BYTES = 2000;
const MAX_SERVICES = 40;
const MAX_ROUTES = 8;
/** Maximum number of customers by name, of all services together. */
const MAX_CUSTOMERS = 24;
/** Parts of the names that are tried until a statement fits. */
const NAME_PARTS = [1, 1 / 2, 1 / 4, 0];
const MAX_NAME_LENGTH = 200;
/** More than any fleet has of slots or requests a second. */
const MAX_AMOUNT = 1e9;
const AMOUNT_DIGITS = 3;

const amount = z.number().min(0).max(MAX_AMOUNT);
const name = z.string().max(MAX_NAME_LENGTH);
const index = z
  .number()
  .int()
  .min(0)
  .max(MAX_ROUTES - 1);
const service = z.strictObject({
  service: name.min(1),
  placed: amount,
  asked: amount,
  full: amount,
  /** Name, demand, demand with returning callers, usual demand, number of customers. */
  routes: z
    .array(z.tuple([name, amount, amount, amount, z.number().int().min(0).max(MAX_AMOUNT)]))
    .max(MAX_ROUTES + 1),
  /** Index of the route, name, demand, demand with returning callers. */
  customers: z.array(z.tuple([index, name, amount, amount])).max(MAX_CUSTOMERS),
});
const content = z
  .strictObject({ services: z.array(service).max(MAX_SERVICES) })
  .refine(
    ({ services }) =>
      services.every(({ routes, customers }) =>
        customers.every(([route]) => route < routes.length),
      ),
    { error: 'a customer names a route that is not listed; list it in routes', path: ['services'] },
  );

/** The demand on services at one instance, as it is sent. */
export type StatedShares = z.output<typeof content>;

/** The section of the exchange. */
export const SHARES_SECTION: Section<StatedShares> = {
  name: 'shares',
  schema: content,
  maxBytes: MAX_BYTES,
};

/** The demand on one service. */
export interface NamedDemand {
  service: string;
  demand: ServiceDemand;
}

const rounded = (value: number): number => Number(value.toFixed(AMOUNT_DIGITS));

const encodeService = (
  { service: of, demand }: NamedDemand,
  maxCustomers: number,
): StatedShares['services'][number] => {
  const { placed, asked, full, routes, customers } = largestOf(demand, MAX_ROUTES, maxCustomers);
  return {
    service: of,
    placed: rounded(placed),
    asked,
    full,
    routes: routes.map((each) => [
      each.route,
      rounded(each.wanted),
      rounded(each.asked),
      rounded(each.usual),
      each.customers,
    ]),
    customers: customers.map((each) => [
      routes.findIndex(({ route }) => route === each.route),
      each.customer,
      rounded(each.wanted),
      rounded(each.asked),
    ]),
  };
};

/** Encodes the demand, the services that are short of slots first; names as many customers as fit. */
export const encodeShares = (demands: readonly NamedDemand[]): StatedShares | undefined => {
  const sorted = demands
    .filter(({ demand }) => demand.asked > 0 || demand.routes.length > 0)
    .sort((a, b) => b.demand.full - a.demand.full || b.demand.placed - a.demand.placed)
    .slice(0, MAX_SERVICES);
  const detailed = sorted.filter(({ demand }) => demand.routes.length > 0).length;
  const shareOfNames = Math.floor(MAX_CUSTOMERS / Math.max(1, detailed));
  const fits = (stated: StatedShares) => JSON.stringify(stated).length <= MAX_BYTES;
  const encode = (count: number, maxCustomers: number): StatedShares => ({
    services: sorted.slice(0, count).map((each) => encodeService(each, maxCustomers)),
  });
  const options = [
    ...NAME_PARTS.map((part) => [sorted.length, Math.floor(shareOfNames * part)]),
    ...sorted.map((_, i) => [sorted.length - 1 - i, 0]),
  ];
  return options
    .filter(([count]) => count > 0)
    .map(
      ([count, maxCustomers]) =>
        () =>
          encode(count, maxCustomers),
    )
    .find((option) => fits(option()))?.();
};

/** Decodes the demand that another instance states. */
export const decodeShares = ({ services }: StatedShares): NamedDemand[] =>
  services.map(({ service: of, routes, customers, ...totals }) => ({
    service: of,
    demand: {
      ...totals,
      routes: routes.map(([route, wanted, asked, usual, count]) => ({
        route,
        wanted,
        asked,
        usual,
        customers: count,
      })),
      customers: customers.map(([route, customer, wanted, asked]) => ({
        route: routes[route][0],
        customer,
        wanted,
        asked,
      })),
    },
  }));
