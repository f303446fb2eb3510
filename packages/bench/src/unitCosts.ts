/**
 * Micro-measurements of the per-unit costs that docs/CAPACITY.md scales up:
 * CPU per steering decision, per document applied, per member-list poll;
 * heap bytes per target view and per remembered idempotency key.
 */
import { Dedup, Fleet } from '@cardamomladder/entry';
import type { DocumentInput } from '@cardamomladder/document';
import { parseDocument } from '@cardamomladder/document';
import type { Member } from '@cardamomladder/member-list';
import { requestKey, serviceName } from '@cardamomladder/types';

/** A document with `services` services over `regions` regions of 2 failure domains. */
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

/** Members: `perService` targets for each of `services`, spread over regions. */
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

const cpuMicros = (work: () => void): number => {
  const before = process.cpuUsage();
  work();
  const used = process.cpuUsage(before);
  return used.user + used.system;
};

/** Heap plus off-heap buffers after a collection: stored answers live in Buffers. */
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
  if (!steering) throw new Error('no service');
  steering.tick(Date.now());
  const n = 20_000;
  let seed = 1;
  const random = () => {
    seed = (seed * 48271) % 2147483647;
    return seed / 2147483647;
  };
  return (
    cpuMicros(() => {
      for (let i = 0; i < n; i += 1) steering.choose(Date.now(), random);
    }) / n
  );
};

/** CPU µs and bytes to parse, validate and apply one document of `services` services. */
export const documentCost = (
  services: number,
  regions: number,
): { micros: number; bytes: number } => {
  const text = JSON.stringify(syntheticDocument(services, regions));
  const fleet = new Fleet();
  const rounds = 20;
  const micros =
    cpuMicros(() => {
      for (let i = 0; i < rounds; i += 1) {
        const parsed = parseDocument(text);
        if (parsed.isErr()) throw parsed.error;
        fleet.applyDocument({ ...parsed.value, revision: i + 2 });
      }
    }) / rounds;
  return { micros, bytes: Buffer.byteLength(text) };
};

/** CPU µs and bytes of one full member-list poll of `members` targets. */
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
    cpuMicros(() => {
      for (let i = 0; i < rounds; i += 1)
        fleet.applyMembers((JSON.parse(text) as { members: Member[] }).members, Date.now());
    }) / rounds;
  return { micros, bytes: Buffer.byteLength(text) };
};

/** Heap bytes per target view held by the fleet. */
export const bytesPerTarget = (count: number): number => {
  const parsed = parseDocument(JSON.stringify(syntheticDocument(10, 11)));
  if (parsed.isErr()) throw parsed.error;
  const before = heapAfterGc();
  // The fleet keeps the member list it was given as well as its own views,
  // so both are counted.
  const members = syntheticMembers(10, count / 10, 11);
  const fleet = new Fleet();
  fleet.applyDocument(parsed.value);
  fleet.applyMembers(members, 0);
  const after = heapAfterGc();
  if (fleet.services.size === 0) throw new Error('unreachable');
  return (after - before) / count;
};

/** Heap bytes per remembered idempotency key with a 200-byte stored answer. */
export const bytesPerDedupKey = (count: number): number => {
  const before = heapAfterGc();
  const dedup = new Dedup({ ttlMs: 3_600_000, maxKeys: count * 2 });
  for (let i = 0; i < count; i += 1) {
    const key = requestKey(`booking-${i}-${'x'.repeat(20)}`);
    dedup.claim(key);
    dedup.finish(key, {
      status: 200,
      headers: { 'content-type': 'application/json' },
      body: Buffer.alloc(200),
    });
  }
  const after = heapAfterGc();
  if (dedup.claim(requestKey('booking-0-xxxxxxxxxxxxxxxxxxxx')).kind !== 'replay')
    throw new Error('key lost');
  return (after - before) / count;
};
