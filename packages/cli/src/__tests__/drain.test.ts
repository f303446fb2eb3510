/**
 * Graceful shutdown: a draining target receives no new requests after a few
 * seconds, and no request in flight is interrupted, including long downloads.
 */
import { describe, expect, it } from 'vitest';
import { Caller } from '@cardamomladder/callers';
import { sendRequest, sleep, useCluster } from '../__fixtures__/testCluster';

const cluster = useCluster({ memberLagMs: 1000, streamMs: { bundle: 1500 } });

describe('drains', () => {
  it('sends no new requests to a target a few seconds after it starts draining', async () => {
    // Guards against entries that rely on the member list alone and keep sending
    // requests to a draining target: the list publishes the state a second later
    // and entries poll it every 500 ms.
    const [leaving] = cluster().targets.get('lookup') ?? [];
    const caller = new Caller(
      cluster().entries.map((e) => ({
        id: 'e',
        address: e.address,
        failureDomain: '',
        region: '',
      })),
    );
    const draining = leaving.drain();
    const sendLookupsFor = async (ms: number) => {
      const until = Date.now() + ms;
      const results = [];
      while (Date.now() < until) results.push(await caller.call('lookup'));
      return results;
    };
    const firstResults = await sendLookupsFor(2000);
    const refusedAt2s = leaving.stats.refusedDraining;
    const laterResults = await sendLookupsFor(1500);
    caller.close();
    await draining;
    expect(leaving.stats.refusedDraining).toBe(refusedAt2s);
    expect([...firstResults, ...laterResults].filter((r) => r.outcome !== 'ok')).toEqual([]);
  });

  it('completes a long download when its target stops', async () => {
    // Guards against closing connections before requests in flight complete: an
    // operator stops the target while it streams a 2 MiB response over 1.5 s,
    // and the download is interrupted.
    const entry = cluster().entries[0].address;
    const downloads = [sendRequest(entry, '/s/bundle/plan'), sendRequest(entry, '/s/bundle/plan')];
    await sleep(300);
    const targets = cluster().targets.get('bundle') ?? [];
    const busiest = targets.reduce((a, b) => (b.inflight() > a.inflight() ? b : a));
    expect(busiest.inflight()).toBeGreaterThan(0);
    const drainMs = await busiest.drain();
    const responses = await Promise.all(downloads);
    expect(responses.map((a) => [a.status, a.bytes])).toEqual([
      [200, 2 * 1024 * 1024],
      [200, 2 * 1024 * 1024],
    ]);
    expect(drainMs).toBeGreaterThan(500);
  });

  it('stops an entry gracefully: requests in flight complete, new ones are rejected', async () => {
    // Guards against closing the listener's connections immediately: a download
    // runs through entry 1, and is interrupted when entry 1 is stopped.
    const entry = cluster().entries[1];
    const targets = cluster().targets.get('bundle') ?? [];
    if (targets.every((t) => t.inflight() === 0)) await sleep(10);
    const download = sendRequest(entry.address, '/s/bundle/plan');
    await sleep(200);
    const stopping = entry.stop();
    await sleep(50);
    const rejected = await sendRequest(entry.address, '/s/lookup/x').catch(() => ({
      status: 0,
      outcome: 'closed',
    }));
    const response = await download;
    await stopping;
    expect([response.status, response.bytes]).toEqual([200, 2 * 1024 * 1024]);
    expect(['not-run', 'closed']).toContain(rejected.outcome);
  });
});
