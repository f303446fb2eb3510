/**
 * Microbenchmarks of the unit costs that docs/CAPACITY.md extrapolates from:
 * CPU per steering decision, per applied document and per member-list poll;
 * heap bytes per target view and per stored idempotency key.
 */
import { DedupCache, Fleet } from '@cardamomladder/entry';
import type { DocumentInput } from '@cardamomladder/document';
import { parseDocument } from '@cardamomladder/document';
import type { Member } from '@cardamomladder/member-list';
import { requestKey, serviceName } from '@cardamomladder/types';

/** A document with `services` services in `regions` regions of 2 failure domains each. */
export const syntheticDocument = (
  services: number,
  regions: number,
  revision = 1,
): DocumentInput => ({
  revision,
  regions: Array.from({ length: regions }, (_, r) => ({
    name: `region-${r}`,
    failureDomains: [`fd-${r}-a`, `fd-${r}-b`],
    reserve: 0.15,
  })),
  services: Array.from({ length: services }, (_, s) => ({
    name: `service-${s}`,
    idempotent: s % 3 !== 1,
    deadlineMs: 2000,
    shares: Object.fromEntries(Array.from({ length: regions }, (_unused, r) => [`region-${r}`, 1])),
  })),
});

/** A member list with `perService` targets for each service, distributed over the regions. */
export const syntheticMembers = (services: number, perService: number, regions: number): Member[] =>
  Array.from({ length: services * perService }, (_, i) => {
    const s = Math.floor(i / perService);
    const r = i % regions;
    return {
      id: `service-${s}-t${i}`,
      service: `service-${s}`,
      region: `region-${r}`,
      failureDomain: `fd-${r}-${i % 2 === 0 ? 'a' : 'b'}`,
      address: `10.0.${r}.${i % 250}:8080`,
      slots: 9,
      state: 'live',
    };
  });

const measureCpuMicros = (work: () => void): number => {
  const before = process.cpuUsage();
  work();
  const used = process.cpuUsage(before);
  return used.user + used.system;
};

/** Heap plus external memory after garbage collection: stored responses are held in Buffers. */
const heapAfterGc = (): number => {
  (globalThis as { gc?: () => void }).gc?.();
  const usage = process.memoryUsage();
  return usage.heapUsed + usage.external;
};

/** CPU µs of one `choose` with `targets` targets per service. */
export const decisionMicros = (targets: number): number => {
  const fleet = new Fleet();
  const parsed = parseDocument(JSON.stringify(syntheticDocument(1, 11)));
  if (parsed.isErr()) throw parsed.error;
  fleet.applyDocument(parsed.value);
  fleet.applyMembers(syntheticMembers(1, targets, 11), 0);
  const steering = fleet.services.get(serviceName('service-0'));
  if (!steering) throw new Error('service-0 is missing from the fleet');
  steering.tick(Date.now());
  const iterations = 20_000;
  let seed = 1;
  const random = () => {
    seed = (seed * 48271) % 2147483647;
    return seed / 2147483647;
  };
  return (
    measureCpuMicros(() => {
      for (let i = 0; i < iterations; i += 1) steering.choose(Date.now(), random);
    }) / iterations
  );
};

/** CPU µs to parse, validate and apply one document of `services` services, and its size in bytes. */
export const documentCost = (
  services: number,
  regions: number,
): { micros: number; bytes: number } => {
  const text = JSON.stringify(syntheticDocument(services, regions));
  const fleet = new Fleet();
  const rounds = 20;
  const micros =
    measureCpuMicros(() => {
      for (let i = 0; i < rounds; i += 1) {
        const parsed = parseDocument(text);
        if (parsed.isErr()) throw parsed.error;
        fleet.applyDocument({ ...parsed.value, revision: i + 2 });
      }
    }) / rounds;
  return { micros, bytes: Buffer.byteLength(text) };
};

/** CPU µs to apply one full member-list poll of `services * perService` targets, and its size in bytes. */
export const memberPollCost = (
  services: number,
  perService: number,
  regions: number,
): { micros: number; bytes: number } => {
  const members = syntheticMembers(services, perService, regions);
  const text = JSON.stringify({ members, asOf: Date.now() });
  const parsed = parseDocument(JSON.stringify(syntheticDocument(services, regions)));
  if (parsed.isErr()) throw parsed.error;
  const fleet = new Fleet();
  fleet.applyDocument(parsed.value);
  const rounds = 10;
  const micros =
    measureCpuMicros(() => {
      for (let i = 0; i < rounds; i += 1)
        fleet.applyMembers((JSON.parse(text) as { members: Member[] }).members, Date.now());
    }) / rounds;
  return { micros, bytes: Buffer.byteLength(text) };
};

/** Heap bytes per target, for the fleet's view and its member-list entry. */
export const bytesPerTarget = (count: number): number => {
  const parsed = parseDocument(JSON.stringify(syntheticDocument(10, 11)));
  if (parsed.isErr()) throw parsed.error;
  const before = heapAfterGc();
  // The fleet retains the member list in addition to its own target views, so
  // both are measured.
  const members = syntheticMembers(10, count / 10, 11);
  const fleet = new Fleet();
  fleet.applyDocument(parsed.value);
  fleet.applyMembers(members, 0);
  const after = heapAfterGc();
  if (fleet.services.size === 0) throw new Error('the fleet has no services');
  return (after - before) / count;
};

/** Heap bytes per stored idempotency key with a 200-byte response. */
export const bytesPerDedupKey = (count: number): number => {
  const before = heapAfterGc();
  const dedup = new DedupCache({ ttlMs: 3_600_000, maxKeys: count * 2 });
  for (let i = 0; i < count; i += 1) {
    const key = requestKey(`booking-${i}-${'x'.repeat(20)}`);
    dedup.claim(key);
    dedup.complete(key, {
      status: 200,
      headers: { 'content-type': 'application/json' },
      body: Buffer.alloc(200),
    });
  }
  const after = heapAfterGc();
  if (dedup.claim(requestKey('booking-0-xxxxxxxxxxxxxxxxxxxx')).kind !== 'replay')
    throw new Error('the first idempotency key was not retained');
  return (after - before) / count;
};
