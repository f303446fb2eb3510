/**
 * Prometheus metrics of one gateway instance. Labels hold kinds and reasons,
 * never names of routes, services or targets, and names of a limited number of
 * customers, so that the metrics page stays small in deployments of any size.
 */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';
import { limitCardinality } from './limitCardinality';

/** Latency buckets in seconds, from an immediate rejection to the longest deadline. */
const LATENCY_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 8];

/** Buckets of the wait for a slot in seconds; it is a share of an objective. */
const WAIT_BUCKETS = [0.005, 0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64];

/** Number of customers with a label of their own. */
const MAX_CUSTOMER_LABELS = 50;

/** Metrics that a gateway instance exports. */
export interface GatewayMetrics {
  registry: Registry;
  requestSeconds: Histogram<'kind' | 'outcome'>;
  rejections: Counter<'reason'>;
  /** Requests over their claimant's share of a contended service. */
  overShareRejections: Counter<'claimant'>;
  contendedServices: Gauge;
  /** Requests that wait for a slot now. */
  waitingRequests: Gauge;
  waitSeconds: Histogram<'outcome'>;
  /** Refused callers that were told when to return, by whether a turn was left. */
  turns: Counter<'given'>;
  customerRequests: Counter<'customer' | 'outcome'>;
  /** Returns the label of a customer: its name, or a shared label beyond `MAX_CUSTOMER_LABELS`. */
  customerLabel: (name: string) => string;
  attempts: Counter<'result'>;
  retryBudgetRequests: Counter<'granted'>;
  /** Targets that crashed while processing requests of this instance. */
  targetCrashes: Counter;
  targetsReachable: Gauge;
  forwards: Counter<'result'>;
  /** Requests served for peers that are cut off from all targets. */
  forwardedForPeers: Counter<'outcome'>;
  storeReachable: Gauge;
  storeEpoch: Gauge;
  configurationVersion: Gauge;
  knownTargets: Gauge;
  limitedTargets: Gauge;
  ejectedTargets: Gauge;
  /** Health checks that asked a target for its pace, by result. */
  paceProbes: Counter<'result'>;
  knownInstances: Gauge;
  /** Instances that have no registry entry and are known by their statements to peers. */
  statedInstances: Gauge;
  logLinesDropped: Gauge;
  eventLoopDelay: Gauge;
  waitingReads: Gauge;
  /** Time for which each turn of the event loop accepted a connection: others waited meanwhile. */
  acceptRunSeconds: Histogram;
  /** Connections that this instance closed, by why, and by what ended them after its half was closed. */
  connectionsClosed: Counter<'reason' | 'ended_by'>;
  /** Callers that left before their answer was complete, by how far their request was. */
  callersLeft: Counter<'request'>;
  /** Requests whose connection this instance closed before their answer was complete, by why and how far they were. */
  requestsCut: Counter<'reason' | 'request'>;
}

/** Creates a registry with the metrics of one instance; `defaults` adds the Node.js process metrics. */
export const gatewayMetrics = (defaults: boolean): GatewayMetrics => {
  const registry = new Registry();
  if (defaults) collectDefaultMetrics({ register: registry });
  const registers = [registry];
  const counter = <T extends string>(name: string, help: string, labelNames: T[]) =>
    new Counter<T>({ name: `cardamomladder_${name}`, help, labelNames, registers });
  const gauge = (name: string, help: string) =>
    new Gauge({ name: `cardamomladder_${name}`, help, registers });
  return {
    registry,
    requestSeconds: new Histogram({
      name: 'cardamomladder_caller_request_seconds',
      help: "From a caller's request to its final answer, by kind of request and outcome.",
      labelNames: ['kind', 'outcome'] as const,
      buckets: LATENCY_BUCKETS,
      registers,
    }),
    rejections: counter('rejections_total', 'Requests answered "not run", by reason.', ['reason']),
    overShareRejections: counter(
      'over_share_total',
      "Requests over their claimant's share of a contended service, by kind of claimant.",
      ['claimant'],
    ),
    contendedServices: gauge('contended_services', 'Services that have too few slots.'),
    waitingRequests: gauge('waiting_requests', 'Requests that wait for a slot now.'),
    waitSeconds: new Histogram({
      name: 'cardamomladder_wait_seconds',
      help: 'Time that requests waited for a slot, by outcome.',
      labelNames: ['outcome'] as const,
      buckets: WAIT_BUCKETS,
      registers,
    }),
    turns: counter(
      'turns_total',
      'Refused callers told when to return; given="no": no turn left.',
      ['given'],
    ),
    customerRequests: counter(
      'customer_requests_total',
      "Customers' requests, by outcome; the first customers by name.",
      ['customer', 'outcome'],
    ),
    customerLabel: limitCardinality(MAX_CUSTOMER_LABELS),
    attempts: counter('target_attempts_total', 'Sends to targets, by result.', ['result']),
    retryBudgetRequests: counter('repeats_total', 'Repeated sends asked of the budget.', [
      'granted',
    ]),
    targetCrashes: counter(
      'target_crashes_total',
      'Targets that crashed under requests of this instance.',
      [],
    ),
    targetsReachable: gauge('targets_reached', '1 while this instance reaches targets itself.'),
    forwards: counter(
      'forwards_total',
      'Requests forwarded to a peer while no target is reached, by result.',
      ['result'],
    ),
    forwardedForPeers: counter(
      'forwarded_for_peers_total',
      'Requests served for peers that reach no target, by outcome.',
      ['outcome'],
    ),
    storeReachable: gauge('store_reached', '1 while the store answers this instance.'),
    storeEpoch: gauge('store_epoch', 'How often the store came back from an older copy.'),
    configurationVersion: gauge('configuration_version', 'Version of the configuration in force.'),
    knownTargets: gauge('known_targets', 'Targets in the registry.'),
    limitedTargets: gauge('limited_targets', 'Targets that name a limit in their answers.'),
    ejectedTargets: gauge('ejected_targets', 'Targets that get no requests as they are slow.'),
    paceProbes: counter('pace_probes_total', 'Probes of the pace of targets, by result.', [
      'result',
    ]),
    knownInstances: gauge('known_instances', 'Instances in the registry, this one included.'),
    statedInstances: gauge(
      'stated_instances',
      'Instances without a registry entry that are known by their statements to peers.',
    ),
    eventLoopDelay: gauge(
      'event_loop_delay_seconds',
      'How late a timer of this instance last fired.',
    ),
    waitingReads: gauge(
      'waiting_reads',
      'Connections of which a part was read and waits to be parsed in a later turn of the event loop.',
    ),
    acceptRunSeconds: new Histogram({
      name: 'cardamomladder_accept_run_seconds',
      help: 'Time for which connections were accepted one in each turn of the event loop.',
      buckets: WAIT_BUCKETS,
      registers,
    }),
    connectionsClosed: counter(
      'connections_closed_total',
      'Connections closed by this instance, by why, and by what ended them afterwards.',
      ['reason', 'ended_by'],
    ),
    callersLeft: counter(
      'callers_left_total',
      'Callers that left before their answer was complete, by whether their request had been sent.',
      ['request'],
    ),
    requestsCut: counter(
      'requests_cut_total',
      'Requests whose connection this instance closed before their answer was complete, by why, and by whether they had been sent.',
      ['reason', 'request'],
    ),
    logLinesDropped: gauge('log_lines_dropped', 'Log lines dropped as the reader was too slow.'),
  };
};
