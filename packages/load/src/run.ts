/**
 * Load generator: concurrent callers send requests through entries for a fixed
 * time in a closed loop (each waits for a response before its next request).
 * Latencies are recorded in HDR histograms. Runs on loopback, bounded in time
 * and, optionally, in the number of requests.
 */
import * as hdr from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import type { CallResult, EntryAddress } from '@cardamomladder/callers';
import { Caller } from '@cardamomladder/callers';

/** Relative weight of one service in the load. */
export interface ServiceWeight {
  service: string;
  weight: number;
  idempotent: boolean;
}

/** Configuration of a load run. */
export interface LoadPlan {
  entries: EntryAddress[];
  mix: ServiceWeight[];
  /** Number of concurrent callers. */
  concurrency: number;
  durationMs: number;
  /** Ends the run early after this many requests. */
  maxRequests?: number;
  random?: () => number;
}

/** Request counts by outcome, and latencies, of one service. */
export interface ServiceReport {
  service: string;
  requests: number;
  ok: number;
  notRun: number;
  unknown: number;
  transport: number;
  p50Ms: number;
  p99Ms: number;
  maxMs: number;
  bytes: number;
}

/** Results of a load run. */
export interface LoadRunReport {
  durationMs: number;
  requests: number;
  perSecond: number;
  services: ServiceReport[];
}

const pickService = (mix: ServiceWeight[], random: () => number): ServiceWeight => {
  const total = mix.reduce((s, m) => s + m.weight, 0);
  let roll = random() * total;
  for (const m of mix) {
    roll -= m.weight;
    if (roll < 0) return m;
  }
  return mix[mix.length - 1];
};

/** Runs the load described by `plan` and reports outcomes and latencies per service. */
export const runLoad = async (plan: LoadPlan): Promise<LoadRunReport> => {
  const random = plan.random ?? Math.random;
  const histograms = new Map<string, Histogram>();
  const counts = new Map<string, Omit<ServiceReport, 'p50Ms' | 'p99Ms' | 'maxMs' | 'service'>>();
  plan.mix.forEach((m) => {
    histograms.set(
      m.service,
      hdr.build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: 120_000_000,
        numberOfSignificantValueDigits: 3,
      }),
    );
    counts.set(m.service, { requests: 0, ok: 0, notRun: 0, unknown: 0, transport: 0, bytes: 0 });
  });
  const startedAt = performance.now();
  const endsAt = startedAt + plan.durationMs;
  let sent = 0;
  let sequence = 0;
  const record = (service: string, result: CallResult) => {
    histograms.get(service)?.recordValue(Math.max(1, Math.round(result.latencyMs * 1000)));
    const c = counts.get(service);
    if (!c) return;
    c.requests += 1;
    c.bytes += result.bytes;
    if (result.outcome === 'ok') c.ok += 1;
    else if (result.outcome === 'not-run') c.notRun += 1;
    else if (result.outcome === 'unknown') c.unknown += 1;
    else c.transport += 1;
  };
  const worker = async () => {
    const caller = new Caller(plan.entries, random);
    while (
      performance.now() < endsAt &&
      (plan.maxRequests === undefined || sent < plan.maxRequests)
    ) {
      sent += 1;
      const m = pickService(plan.mix, random);
      sequence += 1;
      const result = await caller.call(
        m.service,
        m.idempotent
          ? {}
          : {
              method: 'POST',
              body: '{"visit":1}',
              idempotencyKey: `load-${process.pid}-${sequence}`,
            },
      );
      record(m.service, result);
    }
    caller.close();
  };
  await Promise.all(Array.from({ length: plan.concurrency }, worker));
  const durationMs = performance.now() - startedAt;
  const services = plan.mix.map((m): ServiceReport => {
    const h = histograms.get(m.service) as Histogram;
    const c = counts.get(m.service) as Omit<ServiceReport, 'p50Ms' | 'p99Ms' | 'maxMs' | 'service'>;
    return {
      service: m.service,
      ...c,
      p50Ms: h.totalCount ? h.getValueAtPercentile(50) / 1000 : 0,
      p99Ms: h.totalCount ? h.getValueAtPercentile(99) / 1000 : 0,
      maxMs: h.totalCount ? h.maxValue / 1000 : 0,
    };
  });
  histograms.forEach((h) => h.destroy());
  const requests = services.reduce((s, r) => s + r.requests, 0);
  return { durationMs, requests, perSecond: (requests * 1000) / durationMs, services };
};
