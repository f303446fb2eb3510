/** What one instance's callers want of a service, and the sum of what several instances state. */

/** A route's demand. Demand is in slots: the work of the requests of a second, in seconds. */
export interface RouteDemand {
  route: string;
  /** Demand of the requests that callers make for the first time. */
  wanted: number;
  /** The same with requests of callers that return, each time they do. */
  asked: number;
  /** Its mean demand of the last 10 s before the contention began. */
  usual: number;
  /** Number of customers that want it. */
  customers: number;
}

/** A customer's demand on one route. */
export interface CustomerDemand {
  route: string;
  /** Empty for callers without a customer. */
  customer: string;
  wanted: number;
  asked: number;
}

/** The demand on a service over the last second. */
export interface ServiceDemand {
  /** Demand that was placed, in slots. */
  placed: number;
  /** Requests that were to be placed, without those over their claimant's share. */
  asked: number;
  /** Requests among them that found no room. */
  full: number;
  /** Empty while the service is not contended. */
  routes: RouteDemand[];
  /** The largest demands of customers; the rest is what `routes` has beyond them. */
  customers: CustomerDemand[];
}

/** The name under which the smaller routes are stated as one. */
export const OTHER_ROUTES = '';

/** Identifies a customer on a route. */
export const claimantKey = (route: string, customer: string): string => `${route}\n${customer}`;

const sumOf = <T>(items: readonly T[], valueOf: (item: T) => number): number =>
  items.reduce((sum, item) => sum + valueOf(item), 0);

const joinRoutes = (routes: readonly RouteDemand[]): RouteDemand => ({
  route: OTHER_ROUTES,
  wanted: sumOf(routes, ({ wanted }) => wanted),
  asked: sumOf(routes, ({ asked }) => asked),
  usual: sumOf(routes, ({ usual }) => usual),
  customers: Math.max(...routes.map(({ customers }) => customers)),
});

const descending = (a: { wanted: number }, b: { wanted: number }) => b.wanted - a.wanted;

/** Keeps the largest routes, with the others as one, and the largest customers of those kept. */
export const largestOf = (
  { routes, customers, ...totals }: ServiceDemand,
  maxRoutes: number,
  maxCustomers: number,
): ServiceDemand => {
  const sorted = [...routes].sort(descending);
  const kept = sorted.slice(0, maxRoutes);
  const others = sorted.slice(maxRoutes);
  const names = new Set(kept.map(({ route }) => route));
  return {
    ...totals,
    routes: others.length === 0 ? kept : [...kept, joinRoutes(others)],
    customers: customers
      .filter(({ route }) => names.has(route))
      .sort(descending)
      .slice(0, maxCustomers),
  };
};

/** Adds up the demand that several instances state. */
export const sumDemand = (demands: readonly ServiceDemand[]): ServiceDemand => {
  const routes = new Map<string, RouteDemand>();
  const customers = new Map<string, CustomerDemand>();
  demands.forEach((demand) => {
    demand.routes.forEach((each) => {
      const sum = routes.get(each.route) ?? {
        ...each,
        wanted: 0,
        asked: 0,
        usual: 0,
        customers: 0,
      };
      sum.wanted += each.wanted;
      sum.asked += each.asked;
      sum.usual += each.usual;
      sum.customers = Math.max(sum.customers, each.customers);
      routes.set(each.route, sum);
    });
    demand.customers.forEach((each) => {
      const key = claimantKey(each.route, each.customer);
      const sum = customers.get(key) ?? { ...each, wanted: 0, asked: 0 };
      sum.wanted += each.wanted;
      sum.asked += each.asked;
      customers.set(key, sum);
    });
  });
  return {
    placed: sumOf(demands, ({ placed }) => placed),
    asked: sumOf(demands, ({ asked }) => asked),
    full: sumOf(demands, ({ full }) => full),
    routes: [...routes.values()],
    customers: [...customers.values()],
  };
};
