/** Divides a contended service's capacity among routes, and each route's part among its customers. */
import type { RouteDemand, ServiceDemand } from './demand';
import { OTHER_ROUTES, claimantKey } from './demand';
import type { Claim } from './maxMinShares';
import { maxMinShares } from './maxMinShares';

/** The claimants that a share binds: a route as a whole, or one of its customers for wanting more than others. */
export type ClaimantKind = 'route' | 'customer';

/** A claimant's share of the capacity, in slots. */
export interface Share {
  kind: ClaimantKind;
  share: number;
  /** Demand of the requests that its callers make for the first time. */
  wanted: number;
  /** The same with requests of callers that return. */
  asked: number;
}

/** Least weight of a route, as a part of all: a route that has just begun has no usual demand. */
const MIN_ROUTE_WEIGHT = 0.02;
/**
 * A claimant is cut only if it wants this many times as much for its weight as all
 * together; the requests of a customer vary more from second to second. While all want alike, as when caches are cold after a start, a cut of all
 * refuses requests that would find a slot, and protects nobody.
 */
const MIN_EXCESS = { route: 1.25, customer: 1.5 };
/** Difference of two fractions that counts as none. */
const TOLERANCE = 1e-6;

const fractionOf = ({ share, wanted }: Pick<Share, 'share' | 'wanted'>): number =>
  wanted > 0 ? share / wanted : 1;

/** Tells of each claim whether it wants far more for its weight than all together. */
const excessiveClaims = (claims: readonly Claim[], minExcess: number): boolean[] => {
  const present = claims.filter((claim) => claim.wanted > 0);
  const wanted = present.reduce((sum, claim) => sum + claim.wanted, 0);
  const weight = present.reduce((sum, claim) => sum + claim.weight, 0);
  return claims.map((claim) => claim.wanted * weight > minExcess * wanted * claim.weight);
};

const routeWeights = (routes: readonly RouteDemand[]): number[] => {
  const total = routes.reduce((sum, { usual }) => sum + usual, 0);
  if (total === 0) return routes.map(({ wanted }) => wanted);
  return routes.map(({ usual }) => Math.max(usual, total * MIN_ROUTE_WEIGHT));
};

/** The shares of one service. */
export class FairShares {
  private readonly shares = new Map<string, Share>();

  private readonly otherCustomers = new Map<string, Share>();

  /** True if some claimant is cut. */
  readonly cuts: boolean;

  /** Divides `capacity`; `weightOf` gives a customer's weight, or the mean weight for none. */
  constructor(
    { routes, customers }: ServiceDemand,
    readonly capacity: number,
    weightOf: (customer: string | undefined) => number,
  ) {
    const claims = routeWeights(routes).map((weight, i) => ({ weight, wanted: routes[i].wanted }));
    const excessiveRoutes = excessiveClaims(claims, MIN_EXCESS.route);
    maxMinShares(claims, capacity).forEach((share, i) => {
      const { route, wanted, asked, customers: count } = routes[i];
      const named = customers.filter((each) => each.route === route);
      const rest = {
        wanted: Math.max(
          0,
          named.reduce((left, each) => left - each.wanted, wanted),
        ),
        asked: Math.max(
          0,
          named.reduce((left, each) => left - each.asked, asked),
        ),
      };
      const routeFraction = fractionOf({ share, wanted });
      const customerClaims = [
        ...named.map((each) => ({ wanted: each.wanted, weight: weightOf(each.customer) })),
        { wanted: rest.wanted, weight: Math.max(1, count - named.length) * weightOf(undefined) },
      ];
      const excessiveCustomers = excessiveClaims(customerClaims, MIN_EXCESS.customer);
      const within = maxMinShares(customerClaims, share);
      const shareAt = (index: number, of: Pick<Share, 'wanted' | 'asked'>): Share => {
        const fraction = fractionOf({ share: within[index], wanted: of.wanted });
        const kind = fraction < routeFraction - TOLERANCE ? 'customer' : 'route';
        const isCut = excessiveRoutes[i] || excessiveCustomers[index];
        return {
          kind,
          share: isCut ? within[index] : of.wanted,
          wanted: of.wanted,
          asked: of.asked,
        };
      };
      named.forEach((each, index) =>
        this.shares.set(claimantKey(route, each.customer), shareAt(index, each)),
      );
      this.otherCustomers.set(route, shareAt(named.length, rest));
    });
    this.cuts = [...this.shares.values(), ...this.otherCustomers.values()].some(
      (each) => fractionOf(each) < 1 - TOLERANCE,
    );
  }

  /** The share of a customer on a route, or that of all smaller claimants together; undefined if it is not known. */
  of(route: string, customer: string): Share | undefined {
    return (
      this.shares.get(claimantKey(route, customer)) ??
      this.otherCustomers.get(route) ??
      this.otherCustomers.get(OTHER_ROUTES)
    );
  }

  /** The part of a claimant's requests that is within its share, from 0 to 1; all if its callers' first requests are. */
  fraction(route: string, customer: string): number {
    const share = this.of(route, customer);
    if (!share) return 1;
    if (fractionOf(share) > 1 - TOLERANCE) return 1;
    return share.share / Math.max(share.asked, share.wanted);
  }
}
