/** The parts of the current configuration that requests are checked against. */
import type { Customer, CustomerTable } from '@cardamomladder/customers';
import { customerTable } from '@cardamomladder/customers';
import type { ClusterState } from '@cardamomladder/fleet';
import type {
  CallerLimits,
  Configuration,
  RouteTable,
  TrafficSplit,
} from '@cardamomladder/routing';
import { createRouteTable, createTrafficSplit } from '@cardamomladder/routing';

/** Routes, customers and limits, replaced with each configuration; undefined before the first one. */
export class ConfiguredRoutes {
  readonly split: TrafficSplit = createTrafficSplit();

  routes: RouteTable | undefined;

  customers: CustomerTable | undefined;

  limits: CallerLimits | undefined;

  private customersByName = new Map<string, Customer>();

  constructor({ changes }: Pick<ClusterState, 'changes'>) {
    changes.subscribe((change) => {
      if (change.kind === 'configuration') this.apply(change.configuration);
    });
  }

  /** The customer of a request that a peer has admitted. */
  customerNamed(name: string): Customer | undefined {
    return this.customersByName.get(name);
  }

  private apply(configuration: Configuration): void {
    const { customers, limits } = configuration;
    this.routes = createRouteTable(configuration);
    this.customers = customers && customerTable(customers);
    this.customersByName = new Map(customers?.map((customer) => [customer.name, customer]));
    this.limits = limits;
  }
}
