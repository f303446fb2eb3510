/**
 * A configuration that the console has accepted is applied everywhere within
 * seconds and never reverts, despite store outages, slow and lost responses and
 * concurrent operators. Model-based property test; the model is the last
 * revision that the console accepted.
 */
import fc from 'fast-check';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { applyDocument } from '@cardamomladder/console';
import type { DocumentInput } from '@cardamomladder/document';
import { documentForLayout } from '@cardamomladder/document';
import type { ConfigState } from '@cardamomladder/entry';
import { watchConfig } from '@cardamomladder/entry';
import type { KvClient, PlatformStandin } from '@cardamomladder/platform-kv';
import { createKvClient, startPlatformStandin } from '@cardamomladder/platform-kv';
import { sleep, tinyLayout } from '../__fixtures__/testCluster';

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

const documentAt = (revision: number, north: number): DocumentInput => {
  const doc = documentForLayout(tinyLayout, revision);
  return { ...doc, services: doc.services.map((s) => ({ ...s, shares: { north, south: 1 } })) };
};

interface Model {
  accepted: number;
  north: number;
}
interface Real {
  watchers: { seen: number[]; state: () => ConfigState }[];
}

class Apply implements fc.AsyncCommand<Model, Real> {
  constructor(readonly north: number) {}

  check = () => true;

  async run(model: Model): Promise<void> {
    const result = await applyDocument(kv, documentAt(model.accepted, this.north), {
      key: KEY,
      backoffMs: 5,
    });
    if (result.isOk()) {
      expect(result.value.revision).toBe(model.accepted + 1);
      model.accepted += 1;
      model.north = this.north;
    } else {
      // An apply based on the current revision may fail only if the store is unavailable.
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
    real.watchers.forEach((f) => {
      expect(f.state().document?.revision ?? 0).toBeLessThanOrEqual(model.accepted);
    });
  }

  toString = () => `wait(${this.ms})`;
}

describe('configuration propagation', () => {
  it('never reverts and reaches every watcher once the store is available again', async () => {
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
          const watchers = [0, 1, 2].map(() => {
            const f = watchConfig(kv, KEY, { waitMs: 1000 });
            const seen: number[] = [];
            f.state.subscribe((s) => seen.push(s.document?.revision ?? 0));
            return { watcher: f, seen, state: () => f.state.value };
          });
          const model: Model = { accepted: 0, north: 1 };
          try {
            await fc.asyncModelRun(() => ({ model, real: { watchers } }), commands);
            Object.assign(platform.kv.faults, { down: false, delayMs: 0, loseReplies: 0 });
            const started = Date.now();
            while (
              watchers.some((f) => (f.state().document?.revision ?? 0) !== model.accepted) &&
              Date.now() - started < 12_000
            ) {
              await sleep(20);
            }
            watchers.forEach((f) => {
              expect(f.state().document?.revision ?? 0).toBe(model.accepted);
              expect(f.seen).toEqual([...f.seen].sort((a, b) => a - b));
            });
          } finally {
            watchers.forEach((f) => f.watcher.stop());
          }
        },
      ),
      { numRuns: 25, seed: 7 },
    );
  }, 120_000);

  it('accepts exactly one of two concurrent changes', async () => {
    // Guards against a write without compare-and-swap: two operators load
    // revision N and apply at the same time, and one change silently overwrites
    // the other.
    Object.assign(platform.kv.faults, { down: false, delayMs: 0, loseReplies: 0 });
    await kv.delete(KEY);
    const first = await applyDocument(kv, documentAt(0, 1), { key: KEY });
    expect(first.isOk()).toBe(true);
    const results = await Promise.all([
      applyDocument(kv, documentAt(1, 2), { key: KEY }),
      applyDocument(kv, documentAt(1, 3), { key: KEY }),
    ]);
    const kinds = results.map((r) => (r.isOk() ? 'ok' : r.error.kind)).sort();
    expect(kinds).toEqual(['document-stale', 'ok']);
  });

  it('detects that a write took effect although its response was lost', async () => {
    // Guards against treating a lost response as "not written": the store
    // applies the write and drops the response, and the console reports a
    // failure or applies the document twice after the timeout.
    await kv.delete(KEY);
    platform.kv.faults.loseReplies = 1;
    const result = await applyDocument(kv, documentAt(0, 4), { key: KEY });
    expect(result.isOk() && result.value.revision).toBe(1);
    const stored = await kv.get(KEY);
    expect(stored.isOk() && JSON.parse(stored.value?.value ?? '{}').revision).toBe(1);
  });
});
