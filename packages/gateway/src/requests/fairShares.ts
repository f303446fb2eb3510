/**
 * Applies the shares of contended services to this instance's requests: counts them,
 * states the demand to the other instances and takes over theirs.
 */
import type { Customer } from '@cardamomladder/customers';
import type { LogFields, GatewayMetrics } from '@cardamomladder/telemetry';
import type { HeardDemand, PlacementOutcome, ShareDecision } from '@cardamomladder/steering';
import { ServiceFairness } from '@cardamomladder/steering';
import type { InstanceId, ServiceName } from '@cardamomladder/types';
import type { DecisionLog } from '../decisionLog';
import type { Bulletin } from '../peers/exchange';
import type { RequestExecution } from './requestExecution';
import { SHARES_SECTION, decodeShares, encodeShares } from './sharesSection';

/** Time between two updates of the shares, ms: a small part of the second in which demand is measured. */
const UPDATE_INTERVAL_MS = 100;
/** The same while a service is contended: statements then name claimants, and are heard once a round. */
const CONTENDED_UPDATE_INTERVAL_MS = 250;
const SHARE_DIGITS = 2;

/** Dependencies of the fair shares. */
export interface FairSharesOptions {
  self: InstanceId;
  bulletin: Bulletin;
  /** True if slots of the service are divided when there are too few. */
  applies: (service: ServiceName) => boolean;
  metrics: Pick<GatewayMetrics, 'contendedServices' | 'overShareRejections'>;
  log: DecisionLog;
  now: () => number;
}

const rounded = (value: number): number => Number(value.toFixed(SHARE_DIGITS));

/** What a `rejected` line says of a request over its claimant's share. */
export const describeOverShare = ({ overShare }: RequestExecution): LogFields => {
  if (!overShare) return {};
  const { claimant, share, wanted, capacity, heardAgeMs } = overShare;
  return {
    claimant,
    share: rounded(share),
    demand: rounded(wanted),
    capacity: rounded(capacity),
    heardAgeMs: Math.round(heardAgeMs),
  };
};

/** The shares of all services at this instance. */
export class FairShares {
  private readonly services = new Map<ServiceName, ServiceFairness>();

  private weights = new Map<string, number>();

  private meanWeight = 1;

  private updatedAt = -Infinity;

  private isAnyContended = false;

  constructor(private readonly options: FairSharesOptions) {
    options.bulletin.register(SHARES_SECTION);
  }

  /** Takes over the customers of a configuration: one with a limit has the limit's rate as its weight, others the mean. */
  setCustomers(customers: readonly Customer[]): void {
    this.weights = new Map(
      customers.flatMap(({ name, limit }) => (limit ? [[name, limit.perSecond] as const] : [])),
    );
    const sum = [...this.weights.values()].reduce((total, weight) => total + weight, 0);
    this.meanWeight = sum > 0 ? sum / this.weights.size : 1;
  }

  /** Decides whether a request may be placed; a request that was sent, or found within its share before, may. */
  check(execution: RequestExecution): ShareDecision {
    const { request, ctx, sends } = execution;
    if (execution.withinShare) return { kind: 'within', ...execution.withinShare };
    if (sends > execution.triedPeers.size || !this.options.applies(request.service))
      return { kind: 'within', urgent: false };
    const now = ctx.now();
    this.updateIfDue(now);
    const decision = this.of(request.service).decide(
      {
        route: request.route.name,
        customer: request.customer?.name ?? '',
        returns: request.waitedBeforeMs > 0,
        timeLeftMs: request.deadlineAt - now,
      },
      now,
    );
    execution.recordShare(decision);
    if (decision.kind === 'over-share')
      this.options.metrics.overShareRejections.inc({ claimant: decision.claimant });
    return decision;
  }

  /** Counts whether a request within its share found room. */
  recordPlacement(execution: RequestExecution, outcome: PlacementOutcome): void {
    const { request, ctx, res, sends } = execution;
    const fairness = this.services.get(request.service);
    if (!fairness || !execution.withinShare) return;
    if (outcome.kind === 'rejected') {
      if (outcome.reason === 'full') this.countFull(execution, fairness);
      return;
    }
    const placedAt = ctx.now();
    const route = request.route.name;
    fairness.meter.place(route, placedAt);
    if (sends > 0) return;
    res.once('finish', () => {
      if (res.statusCode < 500 && execution.sends === 1)
        fairness.meter.answer(route, ctx.now() - placedAt, fairness.contended);
    });
  }

  /** Counts that a target refused a request. */
  refused(execution: RequestExecution): void {
    const { request, ctx } = execution;
    const fairness = this.services.get(request.service);
    if (!fairness || !execution.withinShare) return;
    fairness.meter.place(request.route.name, ctx.now(), -1);
    this.countFull(execution, fairness);
  }

  /** States the demand on the services to the other instances. */
  state(): void {
    const now = this.options.now();
    this.updateIfDue(now);
    const demands = [...this.services]
      .filter(([service]) => this.options.applies(service))
      .map(([service, fairness]) => ({ service, demand: fairness.demand(now) }));
    this.options.bulletin.say(SHARES_SECTION, encodeShares(demands));
  }

  private countFull(execution: RequestExecution, { meter }: ServiceFairness): void {
    if (execution.countFull()) meter.findFull(this.options.now());
  }

  private of(service: ServiceName): ServiceFairness {
    const existing = this.services.get(service);
    if (existing) return existing;
    const { self } = this.options;
    const created = new ServiceFairness({
      weightOf: (customer) => this.weights.get(customer ?? '') ?? this.meanWeight,
      self,
    });
    this.services.set(service, created);
    return created;
  }

  private updateIfDue(now: number): void {
    const interval = this.isAnyContended ? CONTENDED_UPDATE_INTERVAL_MS : UPDATE_INTERVAL_MS;
    if (now - this.updatedAt >= interval) this.update(now);
  }

  private update(now: number): void {
    this.updatedAt = now;
    if (this.services.size === 0) return;
    const { bulletin, log, metrics } = this.options;
    const heard = new Map<string, HeardDemand[]>();
    bulletin.read(SHARES_SECTION).forEach(({ id, content, ageMs }) =>
      decodeShares(content).forEach(({ service, demand }) => {
        heard.set(service, [...(heard.get(service) ?? []), { id, demand, ageMs }]);
      }),
    );
    this.services.forEach((fairness, service) => {
      const before = fairness.state;
      if (!fairness.update(heard.get(service) ?? [], now)) return;
      log.write('contention', undefined, () => {
        const { contended, capacity, ...known } = fairness.state;
        const shown = contended ? capacity : before.capacity;
        return {
          event: contended ? 'begins' : 'ends',
          service,
          capacity: rounded(shown ?? 0),
          ...known,
          placed: rounded(known.placed),
          wanted: rounded(known.wanted),
          heardAgeMs: Math.round(known.heardAgeMs),
        };
      });
    });
    const contended = [...this.services.values()].filter((each) => each.contended);
    metrics.contendedServices.set(contended.length);
    this.isAnyContended = contended.length > 0;
  }
}
