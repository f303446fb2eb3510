/** Checks that the repeats that reach the targets of a service stay within the fleet-wide bound. */
import { worstWindow } from '@cardamomladder/load';
import type { RepeatBound } from '@cardamomladder/steering';

/** A request that arrived at a target of the service. */
export interface ServiceArrival {
  service: string;
  id: string;
  at: number;
}

/** The requests and repeats of one service, ms. */
interface ServiceArrivals {
  requests: number[];
  repeats: number[];
  seen: Set<string>;
}

/** Collects requests and arrivals by service. */
export class RepeatChecker {
  private readonly services = new Map<string, ServiceArrivals>();

  constructor(
    private readonly bound: RepeatBound,
    private readonly report: (guarantee: string, subject: string, detail: string) => void,
  ) {}

  /** Records a request that a caller sent for the service. */
  recordRequest(service: string, at: number): void {
    this.arrivalsOf(service).requests.push(at);
  }

  /** Records all arrivals at the targets. */
  recordArrivals(arrivals: readonly ServiceArrival[]): void {
    [...arrivals]
      .sort((a, b) => a.at - b.at)
      .forEach(({ service, id, at }) => {
        const { seen, repeats } = this.arrivalsOf(service);
        if (seen.has(id)) repeats.push(at);
        seen.add(id);
      });
  }

  /** Reports each service with more repeats in a window than the bound allows. */
  check(): void {
    this.services.forEach((arrivals, service) => {
      const { from, repeats, allowed } = worstWindow(arrivals, this.bound);
      if (repeats > allowed)
        this.report(
          'repeats',
          service,
          `${repeats} in the window from ${Math.round(from)}, ${Math.floor(allowed)} allowed`,
        );
    });
  }

  private arrivalsOf(service: string): ServiceArrivals {
    const existing = this.services.get(service);
    if (existing) return existing;
    const created: ServiceArrivals = { requests: [], repeats: [], seen: new Set() };
    this.services.set(service, created);
    return created;
  }
}
