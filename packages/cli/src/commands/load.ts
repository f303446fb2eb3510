/** `cardamomladder load`: generates load on running entries and reports the results. */
import { discoverEntries } from '@cardamomladder/callers';
import { runLoad } from '@cardamomladder/load';

/** Options of `load`. */
export interface LoadCommandOptions {
  entry: string;
  services: string;
  nonIdempotent: string;
  failureDomain?: string;
  concurrency: number;
  durationMs: number;
  maxRequests?: number;
}

/** Runs the load and prints its report as JSON; returns exit code 1 on transport errors. */
export const loadCommand = async (options: LoadCommandOptions): Promise<number> => {
  const discovered = await discoverEntries(options.entry, options.failureDomain);
  const entries = options.failureDomain
    ? discovered.entries.filter((e) => e.failureDomain === options.failureDomain)
    : discovered.entries;
  const atMostOnceServices = new Set(options.nonIdempotent.split(',').filter(Boolean));
  const mix = options.services
    .split(',')
    .map((service) => ({ service, weight: 1, idempotent: !atMostOnceServices.has(service) }));
  const report = await runLoad({
    entries: entries.length > 0 ? entries : discovered.entries,
    mix,
    concurrency: options.concurrency,
    durationMs: options.durationMs,
    maxRequests: options.maxRequests,
  });
  console.log(JSON.stringify(report, null, 2));
  return report.services.every((s) => s.transport === 0) ? 0 : 1;
};
