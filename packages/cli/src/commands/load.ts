/** `cardamomladder load`: drives callers' requests through running entries and prints figures. */
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

/** Runs the load and prints its report as JSON. */
export const loadCommand = async (options: LoadCommandOptions): Promise<number> => {
  const listed = await discoverEntries(options.entry, options.failureDomain);
  const entries = options.failureDomain
    ? listed.entries.filter((e) => e.failureDomain === options.failureDomain)
    : listed.entries;
  const once = new Set(options.nonIdempotent.split(',').filter(Boolean));
  const mix = options.services
    .split(',')
    .map((service) => ({ service, weight: 1, idempotent: !once.has(service) }));
  const report = await runLoad({
    entries: entries.length > 0 ? entries : listed.entries,
    mix,
    concurrency: options.concurrency,
    durationMs: options.durationMs,
    maxRequests: options.maxRequests,
  });
  console.log(JSON.stringify(report, null, 2));
  return report.services.every((s) => s.transport === 0) ? 0 : 1;
};
