/**
 * The demo that `npm start` runs: a whole deployment of a layout in one process
 * on the loopback interface. It generates load on the entries, drains one target
 * of each service under load, and reports the three measurements that the
 * project's requirements name: latency, headroom per region and drain time.
 */
import type { Layout } from '@cardamomladder/document';
import type { EntryAddress } from '@cardamomladder/callers';
import { discoverEntries } from '@cardamomladder/callers';
import type { LoadRunReport } from '@cardamomladder/load';
import { runLoad } from '@cardamomladder/load';
import { startCluster } from './cluster';

/** Measurements of a demo run. */
export interface DemoReport {
  layout: string;
  load: LoadRunReport;
  /** Headroom per service and region as estimated by the first entry at the end of the load. */
  headroom: Record<string, Record<string, number>>;
  drains: { target: string; drainMs: number }[];
  /** Requests that ended with a transport error, as one interrupted by a drain does (must be 0). */
  cutOff: number;
}

/** Runs the demo with `durationMs` of load and returns its measurements. */
export const runDemo = async (
  layout: Layout,
  durationMs: number,
  concurrency: number,
): Promise<DemoReport> => {
  const cluster = await startCluster({ layout });
  try {
    const seed = cluster.entries[0].address;
    const byDomain = new Map<string, EntryAddress[]>();
    const discovered = await discoverEntries(seed);
    discovered.entries.forEach((e) =>
      byDomain.set(e.failureDomain, [...(byDomain.get(e.failureDomain) ?? []), e]),
    );
    const mix = layout.services.map((s) => ({
      service: s.name,
      weight: s.answerBytes > 64 * 1024 ? 1 : 6,
      idempotent: s.idempotent,
    }));
    const loads = [...byDomain.values()].map((entries) =>
      runLoad({
        entries,
        mix,
        concurrency: Math.max(1, Math.round(concurrency / byDomain.size)),
        durationMs,
      }),
    );
    // Halfway through, drain one target of every service, as for planned maintenance.
    await new Promise((resolve) => {
      setTimeout(resolve, durationMs / 2);
    });
    const drains = await Promise.all(
      [...cluster.targets.entries()].map(async ([, targets]) => ({
        target: targets[0].id,
        drainMs: await targets[0].drain(),
      })),
    );
    const results = await Promise.all(loads);
    const now = Date.now();
    const headroom: Record<string, Record<string, number>> = {};
    cluster.entries[0].fleet.headroomByService(now).forEach((regions, service) => {
      headroom[service] = Object.fromEntries(
        [...regions].map(([r, h]) => [r, Math.round(h * 1000) / 1000]),
      );
    });
    const services = layout.services.map((s) => {
      const serviceReports = results
        .map((r) => r.services.find((x) => x.service === s.name))
        .filter((x) => x !== undefined);
      const requests = serviceReports.reduce((a, p) => a + p.requests, 0);
      const weightedMean = (pick: (p: (typeof serviceReports)[number]) => number) =>
        requests === 0
          ? 0
          : serviceReports.reduce((a, p) => a + pick(p) * p.requests, 0) / requests;
      return {
        service: s.name,
        requests,
        ok: serviceReports.reduce((a, p) => a + p.ok, 0),
        notRun: serviceReports.reduce((a, p) => a + p.notRun, 0),
        unknown: serviceReports.reduce((a, p) => a + p.unknown, 0),
        transport: serviceReports.reduce((a, p) => a + p.transport, 0),
        bytes: serviceReports.reduce((a, p) => a + p.bytes, 0),
        p50Ms: weightedMean((p) => p.p50Ms),
        p99Ms: Math.max(...serviceReports.map((p) => p.p99Ms)),
        maxMs: Math.max(...serviceReports.map((p) => p.maxMs)),
      };
    });
    const requests = services.reduce((a, s) => a + s.requests, 0);
    const load: LoadRunReport = {
      durationMs,
      requests,
      perSecond: (requests * 1000) / durationMs,
      services,
    };
    return {
      layout: layout.name,
      load,
      headroom,
      drains,
      cutOff: services.reduce((a, s) => a + s.transport, 0),
    };
  } finally {
    await cluster.stop();
  }
};

const pad = (text: string | number, width: number) => String(text).padStart(width);

/** Formats the report as the table that `npm start` prints. */
export const formatDemoReport = (report: DemoReport): string => {
  const lines = [
    `cardamomladder demo: ${report.layout} layout, ${report.load.requests} requests in ${(report.load.durationMs / 1000).toFixed(1)} s (${report.load.perSecond.toFixed(0)}/s)`,
    '',
    'latency (request to complete response)',
    `${'service'.padEnd(12)}${pad('requests', 9)}${pad('ok', 8)}${pad('not-run', 9)}${pad('unknown', 9)}${pad('p50 ms', 9)}${pad('p99 ms', 9)}`,
    ...report.load.services.map(
      (s) =>
        `${s.service.padEnd(12)}${pad(s.requests, 9)}${pad(s.ok, 8)}${pad(s.notRun, 9)}${pad(s.unknown, 9)}${pad(s.p50Ms.toFixed(2), 9)}${pad(s.p99Ms.toFixed(2), 9)}`,
    ),
    '',
    'headroom per region (free share of slots, as estimated by one entry)',
    ...Object.entries(report.headroom).map(
      ([service, regions]) =>
        `${service.padEnd(12)}${Object.entries(regions)
          .map(([r, h]) => `${r} ${(h * 100).toFixed(0)}%`)
          .join('  ')}`,
    ),
    '',
    'drain time (planned drain of one target per service, under load)',
    ...report.drains.map((d) => `${d.target.padEnd(28)}${pad(d.drainMs, 6)} ms`),
    `requests interrupted by the drains: ${report.cutOff}`,
  ];
  return lines.join('\n');
};
