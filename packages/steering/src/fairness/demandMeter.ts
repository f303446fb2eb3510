/** Measures the demand of one instance's callers on a service. */
import { SlidingWindowCounter } from '../placement/slidingWindowCounter';
import type { CustomerDemand, RouteDemand, ServiceDemand } from './demand';
import { claimantKey } from './demand';

const WINDOW_MS = 1000;
/** Time over which a route's usual demand is averaged, ms. */
const USUAL_MS = 10_000;
/** Weight of the newest response time in a route's usual one. */
const RESPONSE_WEIGHT = 0.05;
/** Response time of a route before its first response, ms. */
const DEFAULT_RESPONSE_MS = 100;

/** Times that a request is made at most; of more, some are of callers whose first request is longer ago. */
const MAX_ASKS_PER_REQUEST = 4;

interface RouteMeter {
  /** Work of the requests that its callers make for the first time, ms. */
  firstWork: SlidingWindowCounter;
  responseMs: number | undefined;
  usual: number;
  /** Weight of the time that `usual` covers: 1 once it is far longer than `USUAL_MS`. */
  usualWeight: number;
}

interface CustomerMeter {
  route: string;
  customer: string;
  /** Work of its requests, ms: of those made for the first time, and of all. */
  firstWork: SlidingWindowCounter;
  askedWork: SlidingWindowCounter;
}

/** Measures the demand on one service over the last second. Times in ms. */
export class DemandMeter {
  private readonly routes = new Map<string, RouteMeter>();

  private readonly customers = new Map<string, CustomerMeter>();

  private readonly placedWork = new SlidingWindowCounter(WINDOW_MS);

  private readonly askedCount = new SlidingWindowCounter(WINDOW_MS);

  private readonly fullCount = new SlidingWindowCounter(WINDOW_MS);

  private updatedAt: number | undefined;

  /** Records a request, before it is decided on. */
  want(route: string, customer: string, returns: boolean, now: number): void {
    const work = this.workMs(route);
    const key = claimantKey(route, customer);
    const meter = this.customers.get(key) ?? {
      route,
      customer,
      firstWork: new SlidingWindowCounter(WINDOW_MS),
      askedWork: new SlidingWindowCounter(WINDOW_MS),
    };
    this.customers.set(key, meter);
    meter.askedWork.add(now, work);
    if (returns) return;
    meter.firstWork.add(now, work);
    this.routeMeter(route).firstWork.add(now, work);
  }

  /** Records that a request within its claimant's share is to be placed. */
  ask(now: number): void {
    this.askedCount.add(now);
  }

  /** Records that a request was placed; with `times` -1, that its target refused it. */
  place(route: string, now: number, times: 1 | -1 = 1): void {
    this.placedWork.add(now, times * this.workMs(route));
  }

  /** Records that a request found no room. */
  findFull(now: number): void {
    this.fullCount.add(now);
  }

  /** Records a response time; in a contention a route's usual one stays, so that work keeps its unit. */
  answer(route: string, responseMs: number, contended: boolean): void {
    const meter = this.routeMeter(route);
    if (meter.responseMs !== undefined && contended) return;
    const before = meter.responseMs ?? responseMs;
    meter.responseMs = before + RESPONSE_WEIGHT * (responseMs - before);
  }

  /** Requests per second of a customer on a route. */
  requestsPerSecond(route: string, customer: string, now: number): number {
    const work = this.customers.get(claimantKey(route, customer))?.askedWork.total(now) ?? 0;
    return work / this.workMs(route);
  }

  /** Follows the usual demand of the routes while there is no contention, and drops claimants that want nothing. */
  update(now: number, contended: boolean): void {
    const elapsedMs = now - (this.updatedAt ?? now);
    this.updatedAt = now;
    const weight = 1 - Math.exp(-elapsedMs / USUAL_MS);
    if (!contended)
      this.routes.forEach((meter) => {
        const wanted = meter.firstWork.total(now) / WINDOW_MS;
        Object.assign(meter, {
          usual: meter.usual + weight * (wanted - meter.usual),
          usualWeight: meter.usualWeight + weight * (1 - meter.usualWeight),
        });
      });
    this.customers.forEach(({ askedWork }, key) => {
      if (askedWork.total(now) === 0) this.customers.delete(key);
    });
  }

  /** The demand of the last second; the claimants only if `detailed`. */
  demand(now: number, detailed: boolean): ServiceDemand {
    const customers = detailed ? this.customerDemands(now) : [];
    return {
      placed: Math.max(0, this.placedWork.total(now)) / WINDOW_MS,
      asked: this.askedCount.total(now),
      full: this.fullCount.total(now),
      routes: this.routeDemands(customers),
      customers,
    };
  }

  private customerDemands(now: number): CustomerDemand[] {
    return [...this.customers.values()]
      .map(({ route, customer, firstWork, askedWork }) => {
        const asked = askedWork.total(now) / WINDOW_MS;
        const wanted = Math.max(firstWork.total(now) / WINDOW_MS, asked / MAX_ASKS_PER_REQUEST);
        return { route, customer, wanted, asked };
      })
      .filter(({ asked }) => asked > 0);
  }

  private routeDemands(customers: readonly CustomerDemand[]): RouteDemand[] {
    const demands = new Map<string, RouteDemand>();
    customers.forEach(({ route, wanted, asked }) => {
      const { usual, usualWeight } = this.routeMeter(route);
      const demand = demands.get(route) ?? {
        route,
        wanted: 0,
        asked: 0,
        usual: usualWeight === 0 ? 0 : usual / usualWeight,
        customers: 0,
      };
      demand.wanted += wanted;
      demand.asked += asked;
      demand.customers += 1;
      demands.set(route, demand);
    });
    return [...demands.values()];
  }

  private workMs(route: string): number {
    return Math.max(1, this.routeMeter(route).responseMs ?? DEFAULT_RESPONSE_MS);
  }

  private routeMeter(route: string): RouteMeter {
    const existing = this.routes.get(route);
    if (existing) return existing;
    const created: RouteMeter = {
      firstWork: new SlidingWindowCounter(WINDOW_MS),
      responseMs: undefined,
      usual: 0,
      usualWeight: 0,
    };
    this.routes.set(route, created);
    return created;
  }
}
