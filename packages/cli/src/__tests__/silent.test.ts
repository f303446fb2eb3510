/**
 * Connections that go silent for good while new ones work, and targets
 * that stop answering: a lookup is answered from another target within its
 * deadline; a booking is answered "unknown", never sent twice.
 */
import { describe, expect, it } from 'vitest';
import { send, useCluster } from '../__fixtures__/tiny';

const cluster = useCluster({ memberLagMs: 200 });

describe('silent targets', () => {
  it('answers a lookup from another target before the deadline when one goes silent', async () => {
    // Symptom: a kiosk lookup hangs until its deadline. Sequence: one
    // target accepts requests and never answers. Cause it guards against:
    // one attempt allowed the whole deadline, leaving no time to retry.
    const [silent] = cluster().upstreams.get('lookup') ?? [];
    silent.faults.silent = true;
    const started = performance.now();
    // Each region has one target with four slots and the region is drawn at
    // random: more than four at once may draw one region and be refused for
    // lack of room, which is not what is tested here.
    const round = () =>
      Promise.all(
        Array.from({ length: 4 }, () => send(cluster().entries[0].address, '/s/lookup/x')),
      );
    const replies = [...(await round()), ...(await round())];
    const elapsed = performance.now() - started;
    silent.faults.silent = false;
    expect(replies.map((r) => r.outcome)).toEqual(new Array(8).fill('ok'));
    expect(elapsed).toBeLessThan(2000);
  });

  it('stops choosing a target that went silent once an attempt to it timed out', async () => {
    // Symptom: every other lookup takes a second while one target is
    // silent. Sequence: one attempt to the silent target times out; later
    // lookups keep drawing it. Cause: nothing remembered the timeout.
    const [silent] = cluster().upstreams.get('lookup') ?? [];
    silent.faults.silent = true;
    await Promise.all(
      Array.from({ length: 4 }, () => send(cluster().entries[0].address, '/s/lookup/x')),
    );
    const started = performance.now();
    for (let i = 0; i < 10; i += 1) await send(cluster().entries[0].address, '/s/lookup/x');
    const elapsed = performance.now() - started;
    silent.faults.silent = false;
    expect(elapsed).toBeLessThan(500);
  });

  it('answers a booking "unknown" and does not send it again when its target goes silent', async () => {
    const ups = cluster().upstreams.get('book') ?? [];
    ups.forEach((u) => Object.assign(u.faults, { silent: true }));
    const reply = await send(cluster().entries[1].address, '/s/book/x', {
      method: 'POST',
      body: '{}',
      headers: { 'idempotency-key': 'arrival-7' },
    });
    ups.forEach((u) => Object.assign(u.faults, { silent: false }));
    expect([reply.status, reply.outcome]).toEqual([504, 'unknown']);
  });
});
