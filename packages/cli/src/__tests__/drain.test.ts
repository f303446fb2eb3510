/**
 * Planned stops: a leaving target gets no new work within a few seconds,
 * and no request in flight is cut, long downloads included.
 */
import { describe, expect, it } from 'vitest';
import { Caller } from '@cardamomladder/callers';
import { send, sleep, useCluster } from '../__fixtures__/tiny';

const cluster = useCluster({ memberLagMs: 1000, streamMs: { bundle: 1500 } });

describe('drains', () => {
  it('sends no new work to a leaving target a few seconds after it starts to leave', async () => {
    // Symptom: requests keep landing on a target that is being drained.
    // Sequence: the target starts to leave; the member list publishes this
    // a second later and entries poll it every 500 ms. Cause it guards
    // against: entries trusting only the lagging list.
    const [leaving] = cluster().upstreams.get('lookup') ?? [];
    const caller = new Caller(
      cluster().entries.map((e) => ({
        id: 'e',
        address: e.address,
        failureDomain: '',
        region: '',
      })),
    );
    const draining = leaving.drain();
    const busy = async (ms: number) => {
      const until = Date.now() + ms;
      const results = [];
      while (Date.now() < until) results.push(await caller.call('lookup'));
      return results;
    };
    const early = await busy(2000);
    const refusedAt2s = leaving.stats.refusedDraining;
    const late = await busy(1500);
    caller.close();
    await draining;
    expect(leaving.stats.refusedDraining).toBe(refusedAt2s);
    expect([...early, ...late].filter((r) => r.outcome !== 'ok')).toEqual([]);
  });

  it('lets a long download finish whole when its target stops', async () => {
    // Symptom: a surveyor's bundle download breaks off during maintenance.
    // Sequence: a 2 MiB answer is streaming over 1.5 s; the operator stops
    // the target. Cause it guards against: a stop that closes connections
    // before work in flight ends.
    const entry = cluster().entries[0].address;
    const downloads = [send(entry, '/s/bundle/plan'), send(entry, '/s/bundle/plan')];
    await sleep(300);
    const ups = cluster().upstreams.get('bundle') ?? [];
    const busiest = ups.reduce((a, b) => (b.inflight() > a.inflight() ? b : a));
    expect(busiest.inflight()).toBeGreaterThan(0);
    const drainMs = await busiest.drain();
    const answers = await Promise.all(downloads);
    expect(answers.map((a) => [a.status, a.bytes])).toEqual([
      [200, 2 * 1024 * 1024],
      [200, 2 * 1024 * 1024],
    ]);
    expect(drainMs).toBeGreaterThan(500);
  });

  it('stops an entry gracefully: requests in flight finish, new ones are told to go elsewhere', async () => {
    // Symptom: a kiosk's briefing cut off when an entry instance is replaced.
    // Sequence: a download runs through entry 1; entry 1 is stopped.
    // Cause it guards against: closing the listener's connections at once.
    const entry = cluster().entries[1];
    const ups = cluster().upstreams.get('bundle') ?? [];
    if (ups.every((u) => u.inflight() === 0)) await sleep(10);
    const download = send(entry.address, '/s/bundle/plan');
    await sleep(200);
    const stopping = entry.stop();
    await sleep(50);
    const refused = await send(entry.address, '/s/lookup/x').catch(() => ({
      status: 0,
      outcome: 'closed',
    }));
    const answer = await download;
    await stopping;
    expect([answer.status, answer.bytes]).toEqual([200, 2 * 1024 * 1024]);
    expect(['not-run', 'closed']).toContain(refused.outcome);
  });
});
