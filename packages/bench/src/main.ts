/**
 * `npm run bench`: measures the unit costs used in docs/CAPACITY.md on this
 * machine, and the control-plane cost of fleets of several sizes. The heap
 * measurements need `node --expose-gc`, which the npm script sets.
 */
import { mkdir, writeFile } from 'node:fs/promises';
import { admissionMicros } from './customers';
import { measureFleet } from './fleet';
import {
  bytesPerDedupKey,
  bytesPerTarget,
  decisionMicros,
  documentCost,
  memberPollCost,
} from './unitCosts';

const round = (x: number, digits = 2) => Math.round(x * 10 ** digits) / 10 ** digits;

const main = async () => {
  const fleetSizes = (process.env.BENCH_SIZES ?? '5,20,50').split(',').map(Number);
  const idleMs = Number(process.env.BENCH_IDLE_MS ?? 5000);
  const decisions = [10, 40, 160, 640].map((t) => ({
    targets: t,
    micros: round(decisionMicros(t), 3),
  }));
  const documents = [10, 40, 160].map((s) => ({
    services: s,
    regions: 11,
    ...documentCost(s, 11),
  }));
  const polls = [10, 40, 160].map((s) => ({
    services: s,
    targets: s * 40,
    ...memberPollCost(s, 40, 11),
  }));
  const memory = {
    bytesPerTarget: round(bytesPerTarget(20_000), 0),
    bytesPerDedupKey: round(bytesPerDedupKey(20_000), 0),
  };
  const customers = [100, 10_000].map((keys) => ({ keys, micros: admissionMicros(keys) }));
  const fleet = [];
  for (const n of fleetSizes) fleet.push(await measureFleet(n, idleMs));
  const report = {
    at: new Date().toISOString(),
    node: process.version,
    decisions,
    documents,
    polls,
    memory,
    customers,
    fleet,
  };
  console.log('steering decision (choose), CPU per call');
  decisions.forEach((d) =>
    console.log(`  ${String(d.targets).padStart(4)} targets in the service: ${d.micros} µs`),
  );
  console.log('document parse + validate + apply, per change');
  documents.forEach((d) =>
    console.log(
      `  ${String(d.services).padStart(4)} services x ${d.regions} regions: ${round(d.micros, 0)} µs, ${d.bytes} bytes`,
    ),
  );
  console.log('member-list poll (full list), per poll');
  polls.forEach((p) =>
    console.log(
      `  ${String(p.targets).padStart(5)} targets: ${round(p.micros, 0)} µs, ${p.bytes} bytes`,
    ),
  );
  console.log(
    `heap: ${memory.bytesPerTarget} bytes per target view, ${memory.bytesPerDedupKey} bytes per idempotency key (200-byte response)`,
  );
  console.log('customer identification by API key and rate limit check, CPU per request');
  customers.forEach(({ keys, micros }) =>
    console.log(
      `  ${String(keys).padStart(6)} keys: ${round(micros, 2)} µs, ${round(micros / customers[0].micros, 2)} times that of ${customers[0].keys}`,
    ),
  );
  console.log('fleet of N entries on one platform stand-in');
  fleet.forEach((f) =>
    console.log(
      `  N=${String(f.entries).padStart(3)}: ${round(f.idleCallsPerEntryPerSecond, 3)} store calls/s and ${round(f.idleBytesPerEntryPerSecond, 0)} B/s per entry idle; change applied by all entries in ${round(f.fanOutMs, 1)} ms for ${round(f.callsPerChange, 0)} calls; heap ${round(f.heapMbPerEntry, 2)} MB per entry`,
    ),
  );
  await mkdir('bench-results', { recursive: true });
  await writeFile(
    `bench-results/capacity-${report.at.slice(0, 10)}.json`,
    `${JSON.stringify(report, null, 2)}\n`,
  );
};

main().then(
  () => process.exit(0),
  (error: Error) => {
    console.error(error);
    process.exit(1);
  },
);
