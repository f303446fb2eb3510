/**
 * "A configuration the console has accepted is in force everywhere within
 * seconds and never reverts", under store outages, slow answers, lost
 * replies and racing operators: stateful fuzzing against a model that is
 * just "the last revision the console accepted".
 */
import fc from 'fast-check';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { applyDocument } from '@cardamomladder/console';
import type { DocumentInput } from '@cardamomladder/document';
import { layoutDocument } from '@cardamomladder/document';
import type { ConfigState } from '@cardamomladder/entry';
import { followConfig } from '@cardamomladder/entry';
import type { KvClient, PlatformStandin } from '@cardamomladder/platform-kv';
import { createKvClient, startPlatformStandin } from '@cardamomladder/platform-kv';
import { sleep, tiny } from '../__fixtures__/tiny';

const KEY = 'test/document';
let platform: PlatformStandin;
let kv: KvClient;

beforeAll(async () => {
  platform = await startPlatformStandin();
  kv = createKvClient({ url: platform.url, timeoutMs: 500 });
});
afterAll(async () => {
  await platform.stop();
});

const docAt = (revision: number, north: number): DocumentInput => {
  const doc = layoutDocument(tiny, revision);
  return { ...doc, services: doc.services.map((s) => ({ ...s, shares: { north, south: 1 } })) };
};

interface Model {
  accepted: number;
  north: number;
}
interface Real {
  followers: { seen: number[]; state: () => ConfigState }[];
}

class Apply implements fc.AsyncCommand<Model, Real> {
  constructor(readonly north: number) {}

  check = () => true;

  async run(model: Model): Promise<void> {
    const result = await applyDocument(kv, docAt(model.accepted, this.north), {
      key: KEY,
      backoffMs: 5,
    });
    if (result.isOk()) {
      expect(result.value.revision).toBe(model.accepted + 1);
      model.accepted += 1;
      model.north = this.north;
    } else {
      // Only an unreachable store may refuse an apply from the current revision.
      expect(result.error.kind).toBe('store-unavailable');
    }
  }

  toString = () => `apply(north=${this.north})`;
}

class Fault implements fc.AsyncCommand<Model, Real> {
  constructor(readonly faults: { down?: boolean; delayMs?: number; loseReplies?: number }) {}

  check = () => true;

  async run(): Promise<void> {
    Object.assign(platform.kv.faults, this.faults);
  }

  toString = () => `fault(${JSON.stringify(this.faults)})`;
}

class Wait implements fc.AsyncCommand<Model, Real> {
  constructor(readonly ms: number) {}

  check = () => true;

  async run(model: Model, real: Real): Promise<void> {
    await sleep(this.ms);
    real.followers.forEach((f) => {
      expect(f.state().document?.revision ?? 0).toBeLessThanOrEqual(model.accepted);
    });
  }

  toString = () => `wait(${this.ms})`;
}

describe('configuration in force', () => {
  it('never reverts and reaches every follower once the store is back', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.commands(
          [
            fc.integer({ min: 0, max: 5 }).map((n) => new Apply(n)),
            fc.integer({ min: 0, max: 5 }).map((n) => new Apply(n)),
            fc.constant(new Fault({ down: true })),
            fc.constant(new Fault({ down: false })),
            fc.constant(new Fault({ loseReplies: 1 })),
            fc.integer({ min: 0, max: 300 }).map((ms) => new Fault({ delayMs: ms })),
            fc.integer({ min: 0, max: 300 }).map((ms) => new Wait(ms)),
          ],
          { maxCommands: 16, size: 'max' },
        ),
        async (commands) => {
          Object.assign(platform.kv.faults, { down: false, delayMs: 0, loseReplies: 0 });
          await kv.delete(KEY);
          const followers = [0, 1, 2].map(() => {
            const f = followConfig(kv, KEY, { waitMs: 1000 });
            const seen: number[] = [];
            f.state.subscribe((s) => seen.push(s.document?.revision ?? 0));
            return { follower: f, seen, state: () => f.state.value };
          });
          const model: Model = { accepted: 0, north: 1 };
          try {
            await fc.asyncModelRun(() => ({ model, real: { followers } }), commands);
            Object.assign(platform.kv.faults, { down: false, delayMs: 0, loseReplies: 0 });
            const started = Date.now();
            while (
              followers.some((f) => (f.state().document?.revision ?? 0) !== model.accepted) &&
              Date.now() - started < 12_000
            ) {
              await sleep(20);
            }
            followers.forEach((f) => {
              expect(f.state().document?.revision ?? 0).toBe(model.accepted);
              expect(f.seen).toEqual([...f.seen].sort((a, b) => a - b));
            });
          } finally {
            followers.forEach((f) => f.follower.stop());
          }
        },
      ),
      { numRuns: 25, seed: 7 },
    );
  }, 120_000);

  it('lets exactly one of two racing operators win', async () => {
    // Symptom: one volunteer's change silently overwrites another's.
    // Sequence: both load revision N, both apply at once.
    // Cause it guards against: a write without compare-and-swap.
    Object.assign(platform.kv.faults, { down: false, delayMs: 0, loseReplies: 0 });
    await kv.delete(KEY);
    const first = await applyDocument(kv, docAt(0, 1), { key: KEY });
    expect(first.isOk()).toBe(true);
    const results = await Promise.all([
      applyDocument(kv, docAt(1, 2), { key: KEY }),
      applyDocument(kv, docAt(1, 3), { key: KEY }),
    ]);
    const kinds = results.map((r) => (r.isOk() ? 'ok' : r.error.kind)).sort();
    expect(kinds).toEqual(['document-stale', 'ok']);
  });

  it('learns that a write took effect when its reply was lost', async () => {
    // Symptom: the console reports failure (or applies twice) after a
    // timeout although the store had taken the write. Sequence: the write
    // is applied, the reply is dropped. Cause it guards against: treating
    // a lost reply as "not written".
    await kv.delete(KEY);
    platform.kv.faults.loseReplies = 1;
    const result = await applyDocument(kv, docAt(0, 4), { key: KEY });
    expect(result.isOk() && result.value.revision).toBe(1);
    const stored = await kv.get(KEY);
    expect(stored.isOk() && JSON.parse(stored.value?.value ?? '{}').revision).toBe(1);
  });
});
