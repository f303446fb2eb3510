/**
 * Targets that accept requests and stop responding, as on connections that fail
 * without being closed while new ones work: a lookup is answered by another
 * target within its deadline; a booking is answered "unknown", never sent twice.
 */
import { describe, expect, it } from 'vitest';
import { sendRequest, useCluster } from '../__fixtures__/testCluster';

const cluster = useCluster({ memberLagMs: 200 });

describe('unresponsive targets', () => {
  it('answers a lookup from another target before the deadline when one stops responding', async () => {
    // Guards against an attempt that may take the whole deadline and leaves no
    // time to retry: one target accepts requests and never responds, and the
    // lookup hangs until its deadline.
    const [silent] = cluster().targets.get('lookup') ?? [];
    silent.faults.silent = true;
    const started = performance.now();
    // Each region has one target with four slots, and the region is drawn at
    // random: with more than four concurrent lookups, one region could be drawn
    // too often and reject some for lack of capacity, which is not tested here.
    const sendLookups = () =>
      Promise.all(
        Array.from({ length: 4 }, () => sendRequest(cluster().entries[0].address, '/s/lookup/x')),
      );
    const replies = [...(await sendLookups()), ...(await sendLookups())];
    const elapsed = performance.now() - started;
    silent.faults.silent = false;
    expect(replies.map((r) => r.outcome)).toEqual(new Array(8).fill('ok'));
    expect(elapsed).toBeLessThan(2000);
  });

  it('stops choosing an unresponsive target once an attempt to it timed out', async () => {
    // Guards against discarding the timeout of an attempt: later lookups keep
    // choosing the unresponsive target, and every other lookup takes a second.
    const [silent] = cluster().targets.get('lookup') ?? [];
    silent.faults.silent = true;
    await Promise.all(
      Array.from({ length: 4 }, () => sendRequest(cluster().entries[0].address, '/s/lookup/x')),
    );
    const started = performance.now();
    for (let i = 0; i < 10; i += 1) await sendRequest(cluster().entries[0].address, '/s/lookup/x');
    const elapsed = performance.now() - started;
    silent.faults.silent = false;
    expect(elapsed).toBeLessThan(500);
  });

  it('answers a booking "unknown" and does not send it again when its target stops responding', async () => {
    const targets = cluster().targets.get('book') ?? [];
    targets.forEach((t) => Object.assign(t.faults, { silent: true }));
    const reply = await sendRequest(cluster().entries[1].address, '/s/book/x', {
      method: 'POST',
      body: '{}',
      headers: { 'idempotency-key': 'arrival-7' },
    });
    targets.forEach((t) => Object.assign(t.faults, { silent: false }));
    expect([reply.status, reply.outcome]).toEqual([504, 'unknown']);
  });
});
