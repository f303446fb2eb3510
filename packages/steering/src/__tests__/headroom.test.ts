/**
 * Steering must not overload a region: headroom is estimated from delayed or
 * missing load reports, traffic moves away from a region whose headroom is
 * below its reserve, and requests are rejected when a region is full.
 */
import { describe, expect, it } from 'vitest';
import type { ServiceSpec } from '@cardamomladder/document';
import { regionName, targetId } from '@cardamomladder/types';
import { targetView } from '../__fixtures__/targets';
import { estimateBusySlots } from '../headroom';
import { ServiceSteering } from '../service';

const spec: ServiceSpec = {
  name: 'skjalasafn',
  idempotent: true,
  deadlineMs: 1000,
  maxAttempts: 3,
  maxShiftPerMinute: 0.2,
  warmupSeconds: 0,
  shares: { akureyri: 1, reykjavik: 1 },
};

const steeringWith = (busy: Record<string, number>, at: number) => {
  const steering = new ServiceSteering(
    spec,
    new Map([
      [regionName('akureyri'), 0.15],
      [regionName('reykjavik'), 0.15],
    ]),
  );
  Object.entries(busy).forEach(([region, inflight]) => {
    const id = `skjalasafn-${region}`;
    steering.targets.set(targetId(id), targetView(id, region, 3, { inflight, at }));
  });
  return steering;
};

describe('headroom', () => {
  it('uses fresh reports unchanged and moves stale ones toward full', () => {
    // A target reports 1 of 3 slots busy, then stops reporting. Trusting the
    // last report indefinitely would overload it.
    const load = { slots: 3, localInflight: 0, report: { inflight: 1, at: 0 } };
    expect([0, 2000, 6000, 10_000, 60_000].map((now) => estimateBusySlots(load, now))).toEqual([
      1, 1, 2, 3, 3,
    ]);
    expect(estimateBusySlots({ slots: 4, localInflight: 3 }, 0)).toBe(3);
  });

  it('moves traffic away from a region below its reserve, no faster than the limit', () => {
    // An entry starts while akureyri reports all slots busy and reykjavik is
    // idle, for one minute. Traffic must leave akureyri, where requests are
    // slow, but an entry that starts from its own view of the headroom instead
    // of the schedule would shift more traffic than the limit at once.
    const steering = steeringWith({ akureyri: 3, reykjavik: 0 }, 0);
    steering.tick(0);
    const start = steering.currentSplit.get(regionName('akureyri')) ?? 0;
    for (let t = 1000; t <= 60_000; t += 1000) {
      steering.targets.forEach((target) => {
        if (target.load.report) target.load.report.at = t;
      });
      steering.tick(t);
    }
    const end = steering.currentSplit.get(regionName('akureyri')) ?? 0;
    expect(start).toBeCloseTo(0.5);
    expect(start - end).toBeGreaterThan(0);
    expect(0.5 - end).toBeLessThanOrEqual(0.2 + 1e-9);
  });

  it('rejects with "region-full" instead of exceeding the slots', () => {
    const steering = steeringWith({ akureyri: 3, reykjavik: 3 }, 0);
    steering.tick(0);
    const choices = [0.1, 0.9].map((roll) => steering.choose(10, () => roll));
    expect(choices.map((c) => (c.kind === 'refused' ? c.reason : c.target.id))).toEqual([
      'region-full',
      'region-full',
    ]);
  });
});
