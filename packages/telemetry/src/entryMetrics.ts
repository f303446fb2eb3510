/**
 * Prometheus metrics of the entry daemon. Each daemon has its own registry, so
 * that several daemons in one process (demo, tests) do not share counters.
 */
import { Counter, Gauge, Histogram, Registry, collectDefaultMetrics } from 'prom-client';

/** Latency buckets in seconds: 1 ms to 10 s, finest in the typical range of lookups. */
const LATENCY_BUCKETS = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10];

/** Metrics that an entry daemon exports on `/metrics`. */
export interface EntryMetrics {
  registry: Registry;
  requestSeconds: Histogram<'service' | 'outcome'>;
  attempts: Counter<'service' | 'result'>;
  retries: Counter<'service'>;
  notRun: Counter<'service' | 'reason'>;
  outcomeUnknown: Counter<'service'>;
  regionHeadroom: Gauge<'service' | 'region'>;
  regionShare: Gauge<'service' | 'region'>;
  documentRevision: Gauge;
  storeCalls: Counter<'call'>;
}

/** Creates a registry with the entry daemon's metrics; `defaults` adds the Node.js process metrics. */
export const entryMetrics = (defaults = false): EntryMetrics => {
  const registry = new Registry();
  if (defaults) collectDefaultMetrics({ register: registry });
  const registers = [registry];
  return {
    registry,
    requestSeconds: new Histogram({
      name: 'cardamomladder_request_seconds',
      help: 'Time from a caller request to the end of its answer, by service and outcome.',
      labelNames: ['service', 'outcome'],
      buckets: LATENCY_BUCKETS,
      registers,
    }),
    attempts: new Counter({
      name: 'cardamomladder_attempts_total',
      help: 'Attempts sent to targets, by result.',
      labelNames: ['service', 'result'],
      registers,
    }),
    retries: new Counter({
      name: 'cardamomladder_retries_total',
      help: 'Attempts after the first for one caller request.',
      labelNames: ['service'],
      registers,
    }),
    notRun: new Counter({
      name: 'cardamomladder_not_run_total',
      help: 'Requests answered "not run": no target ran them.',
      labelNames: ['service', 'reason'],
      registers,
    }),
    outcomeUnknown: new Counter({
      name: 'cardamomladder_outcome_unknown_total',
      help: 'Non-idempotent requests whose target may or may not have run them.',
      labelNames: ['service'],
      registers,
    }),
    regionHeadroom: new Gauge({
      name: 'cardamomladder_region_headroom_ratio',
      help: "Spare share of the region's slots as this entry estimates it (0 full, 1 idle).",
      labelNames: ['service', 'region'],
      registers,
    }),
    regionShare: new Gauge({
      name: 'cardamomladder_region_share_ratio',
      help: "Share of this entry's traffic currently sent to the region.",
      labelNames: ['service', 'region'],
      registers,
    }),
    documentRevision: new Gauge({
      name: 'cardamomladder_document_revision',
      help: "Revision of the operators' document in force at this entry.",
      registers,
    }),
    storeCalls: new Counter({
      name: 'cardamomladder_store_calls_total',
      help: 'Calls made to the platform key-value service, by call.',
      labelNames: ['call'],
      registers,
    }),
  };
};
