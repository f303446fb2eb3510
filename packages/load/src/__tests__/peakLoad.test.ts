/**
 * Peak load, simulated in virtual time: status lookups whose demand exceeds the
 * capacity with cold caches but not with warm caches, regions that peak at
 * different times, and few targets in one region.
 */
import { describe, expect, it } from 'vitest';
import type { PlacementPolicy } from '..';
import { leastBusyPolicy, productionPolicy, simulateLoad } from '..';

const PERIOD_MS = 36_000;
const PHASES: Record<string, number> = { rvk: 0.1, aey: 0.43, egs: 0.77 };

const peakLoad = (policy: PlacementPolicy, seed: number, perRegion = 167) =>
  simulateLoad({
    seed,
    targetsPerRegion: { rvk: 2, aey: 6, egs: 8 },
    target: {
      slots: 9,
      queueCapacity: 27,
      serviceTimeMs: 480,
      cacheSavings: 0.7,
      cacheCapacity: 71,
    },
    objectsPerRegion: 91,
    rate: (region, at) =>
      perRegion * (1 + 0.55 * Math.sin(2 * Math.PI * (at / PERIOD_MS + PHASES[region]))),
    durationMs: 30_000,
    objectiveMs: 400,
    deadlineMs: 2500,
    interRegionDelayMs: 20,
    policy,
  });

describe('peak load', () => {
  it('earns over twice the credit of choosing the least busy target', () => {
    // Guards against placement by free capacity alone: after a burst, a full
    // target's requests spill to others, which evict their own cached objects,
    // take three times as long and spill in turn, so that responses stay late
    // until a restart.
    const seeds = [1, 2, 3];
    const production = seeds.map((seed) => peakLoad(productionPolicy, seed).credit);
    const baseline = seeds.map((seed) => peakLoad(leastBusyPolicy, seed).credit);
    const ratios = production.map((credit, i) => credit / baseline[i]);
    console.log(
      `credit ${production.map((c) => c.toFixed(2)).join(' ')}; baseline ${baseline.map((c) => c.toFixed(2)).join(' ')}; ratio ${ratios.map((r) => r.toFixed(1)).join(' ')}`,
    );
    ratios.forEach((r) => expect(r).toBeGreaterThan(2));
    production.forEach((credit) => expect(credit).toBeGreaterThan(0.8));
  });

  it('recovers within seconds after two targets were slow', () => {
    const report = simulateLoad({
      seed: 7,
      targetsPerRegion: { rvk: 2, aey: 6, egs: 8 },
      target: {
        slots: 9,
        queueCapacity: 27,
        serviceTimeMs: 480,
        cacheSavings: 0.7,
        cacheCapacity: 71,
      },
      objectsPerRegion: 91,
      rate: () => 150,
      durationMs: 30_000,
      objectiveMs: 400,
      deadlineMs: 2500,
      interRegionDelayMs: 20,
      policy: productionPolicy,
      disturb: (at, targets) =>
        targets.slice(0, 2).forEach((target) => {
          target.slowdown = at > 8000 && at < 12_000 ? 5 : 1;
        }),
    });
    expect(report.credit).toBeGreaterThan(0.8);
  });

  it('recovers from an overload with few targets left, whose caches hold little more than their own objects', () => {
    // Guards against using a second target that is as full as the first: an
    // evacuation leaves six targets, a burst fills them all, and requests that
    // overflow to their second target evict its own cached objects. Bookings
    // then stayed late or rejected for the rest of the day, although a third of
    // the slots would have been enough.
    const afterBurst = (policy: PlacementPolicy, seed: number) =>
      simulateLoad({
        seed,
        targetsPerRegion: { rvk: 2, aey: 2, egs: 2 },
        target: {
          slots: 7,
          queueCapacity: 21,
          serviceTimeMs: 640,
          cacheSavings: 0.7,
          cacheCapacity: 28,
        },
        objectsPerRegion: 43,
        rate: (_, at) => (at < 6000 ? 100 : 48),
        durationMs: 30_000,
        objectiveMs: 400,
        deadlineMs: 3000,
        interRegionDelayMs: 20,
        policy,
      }).credit;
    const credits = [1, 2, 3].map((seed) => afterBurst(productionPolicy, seed));
    console.log(`credit after a burst ${credits.map((c) => c.toFixed(2)).join(' ')}`);
    credits.forEach((credit) => expect(credit).toBeGreaterThan(0.6));
  });

  it('serves more requests in time by using longer queues for longer latency objectives', () => {
    // Guards against one queue limit for all services: when a target is full
    // for a moment, requests are rejected and retried a quarter of a second
    // later, too late, although the queue would have served them in time. One
    // lookup in fourteen was late or rejected at two thirds of the capacity.
    // Credit with a limit of 1.3 per slot for all services: 0.92, 0.93, 0.91.
    const credits = [1, 2, 3].map(
      (seed) =>
        simulateLoad({
          seed,
          targetsPerRegion: { dakar: 2, thies: 6, kaolack: 6 },
          target: {
            slots: 9,
            queueCapacity: 27,
            serviceTimeMs: 900,
            cacheSavings: 0.7,
            cacheCapacity: 50,
          },
          objectsPerRegion: 56,
          rate: (_, at) => 85 * (1 + 0.55 * Math.sin((2 * Math.PI * at) / PERIOD_MS)),
          durationMs: 30_000,
          objectiveMs: 640,
          deadlineMs: 4000,
          interRegionDelayMs: 35,
          policy: productionPolicy,
        }).credit,
    );
    console.log(`credit with long objectives ${credits.map((c) => c.toFixed(2)).join(' ')}`);
    const mean = credits.reduce((sum, credit) => sum + credit, 0) / credits.length;
    expect(mean).toBeGreaterThan(0.93);
  });

  it('serves more lookups in time when 27 instances share 330 targets and each hears from a target every ten seconds', () => {
    // Guards against load reports that expire after a fixed time: popular
    // objects, requested four times as often as others, meet on one target,
    // whose report expires at each instance long before the next one arrives,
    // so that it is taken for idle. One lookup in five was late after a burst
    // while the fleet was half full. Credit with a fixed expiry: 0.845 with
    // 3,650 late; with an expiry by report frequency: 0.873 with 2,757 late.
    const report = simulateLoad({
      seed: 1,
      targetsPerRegion: { rvk: 33, aey: 134, egs: 163 },
      target: {
        slots: 9,
        queueCapacity: 27,
        serviceTimeMs: 3216,
        cacheSavings: 0.7,
        cacheCapacity: 70,
      },
      objectsPerRegion: 239,
      instancesPerRegion: 9,
      skew: 0.35,
      rate: (region, at) =>
        (at > 5000 ? 500 : 290) *
        (1 + 0.55 * Math.sin(2 * Math.PI * (at / PERIOD_MS + PHASES[region]))),
      durationMs: 15_000,
      objectiveMs: 1532,
      deadlineMs: 12_000,
      interRegionDelayMs: 20,
      policy: productionPolicy,
    });
    console.log(`credit of a large fleet ${report.credit.toFixed(3)}, late ${report.late}`);
    expect(report.credit).toBeGreaterThan(0.86);
  });

  it('rejects immediately when there is no free capacity', () => {
    const report = peakLoad(productionPolicy, 5, 600);
    expect(report.rejected).toBeGreaterThan(0);
    expect(report.maxRejectionMs).toBe(0);
  });
});
