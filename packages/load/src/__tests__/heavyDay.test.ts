/**
 * The heaviest day, in virtual time: status lookups at a demand above the
 * capacity with cold memories and below it with warm ones, regions that peak
 * at different times, few targets in one region.
 */
import { describe, expect, it } from 'vitest';
import type { PlacingRule } from '..';
import { anyWithRoom, playLoad, productRule } from '..';

const PERIOD_MS = 36_000;
const PHASE: Record<string, number> = { rvk: 0.1, aey: 0.43, egs: 0.77 };

const heavyDay = (rule: PlacingRule, seed: number, perRegion = 167) =>
  playLoad({
    seed,
    targetsPerRegion: { rvk: 2, aey: 6, egs: 8 },
    target: { slots: 9, queue: 27, workMs: 480, warmGain: 0.7, remembers: 71 },
    objectsPerRegion: 91,
    rate: (region, at) =>
      perRegion * (1 + 0.55 * Math.sin(2 * Math.PI * (at / PERIOD_MS + PHASE[region]))),
    lengthMs: 30_000,
    objectiveMs: 400,
    deadlineMs: 2500,
    betweenRegionsMs: 20,
    rule,
  });

describe('the heaviest day', () => {
  it('earns over twice the credit of placing on any target with room', () => {
    // Symptom: late answers from a burst on, until a restart. Sequence: a
    // full target's requests spill to others, which forget their own objects,
    // work three times longer and spill in turn. Cause: placing by room alone.
    const seeds = [1, 2, 3];
    const ours = seeds.map((seed) => heavyDay(productRule, seed).credit);
    const baseline = seeds.map((seed) => heavyDay(anyWithRoom, seed).credit);
    const ratio = ours.map((credit, i) => credit / baseline[i]);
    console.log(
      `credit ${ours.map((c) => c.toFixed(2)).join(' ')}; baseline ${baseline.map((c) => c.toFixed(2)).join(' ')}; ratio ${ratio.map((r) => r.toFixed(1)).join(' ')}`,
    );
    ratio.forEach((r) => expect(r).toBeGreaterThan(2));
    ours.forEach((credit) => expect(credit).toBeGreaterThan(0.8));
  });

  it('recovers within seconds of a time in which two targets were slow', () => {
    const report = playLoad({
      seed: 7,
      targetsPerRegion: { rvk: 2, aey: 6, egs: 8 },
      target: { slots: 9, queue: 27, workMs: 480, warmGain: 0.7, remembers: 71 },
      objectsPerRegion: 91,
      rate: () => 150,
      lengthMs: 30_000,
      objectiveMs: 400,
      deadlineMs: 2500,
      betweenRegionsMs: 20,
      rule: productRule,
      disturb: (at, targets) =>
        targets.slice(0, 2).forEach((target) => {
          target.slowness = at > 8000 && at < 12_000 ? 5 : 1;
        }),
    });
    expect(report.credit).toBeGreaterThan(0.8);
  });

  it('recovers from an overload with few targets left, whose memories hold little more than their own objects', () => {
    // Symptom: bookings stay late and refused for the rest of the day though
    // a third of the slots would do. Sequence: an evacuation leaves six
    // targets; a burst fills them all; what does not fit its first target
    // goes to its second, which forgets its own objects for it. Cause: the
    // second target was used while it was as full as the first.
    const afterBurst = (rule: PlacingRule, seed: number) =>
      playLoad({
        seed,
        targetsPerRegion: { rvk: 2, aey: 2, egs: 2 },
        target: { slots: 7, queue: 21, workMs: 640, warmGain: 0.7, remembers: 28 },
        objectsPerRegion: 43,
        rate: (_, at) => (at < 6000 ? 100 : 48),
        lengthMs: 30_000,
        objectiveMs: 400,
        deadlineMs: 3000,
        betweenRegionsMs: 20,
        rule,
      }).credit;
    const credits = [1, 2, 3].map((seed) => afterBurst(productRule, seed));
    console.log(`credit after a burst ${credits.map((c) => c.toFixed(2)).join(' ')}`);
    credits.forEach((credit) => expect(credit).toBeGreaterThan(0.6));
  });

  it('answers more in time where slow answers have long objectives, by queues as long as these allow', () => {
    // Symptom: one lookup in fourteen is late or refused at two thirds of the
    // capacity. Sequence: a target is full for a moment; requests are refused
    // and come back a quarter of a second later, late, though the queue would
    // have let them in on time. Cause: one queue limit for all services.
    // Credit at a limit of 1.3 a slot for all: 0.92, 0.93 and 0.91.
    const credits = [1, 2, 3].map(
      (seed) =>
        playLoad({
          seed,
          targetsPerRegion: { dakar: 2, thies: 6, kaolack: 6 },
          target: { slots: 9, queue: 27, workMs: 900, warmGain: 0.7, remembers: 50 },
          objectsPerRegion: 56,
          rate: (_, at) => 85 * (1 + 0.55 * Math.sin((2 * Math.PI * at) / PERIOD_MS)),
          lengthMs: 30_000,
          objectiveMs: 640,
          deadlineMs: 4000,
          betweenRegionsMs: 35,
          rule: productRule,
        }).credit,
    );
    console.log(`credit with long objectives ${credits.map((c) => c.toFixed(2)).join(' ')}`);
    const mean = credits.reduce((sum, credit) => sum + credit, 0) / credits.length;
    expect(mean).toBeGreaterThan(0.93);
  });

  it('keeps more lookups in time where 27 instances share 330 targets, each hearing of a target every ten seconds', () => {
    // Symptom: one lookup in five is late from a burst on while the fleet is
    // half full. Sequence: some objects are asked for four times as often as
    // others and meet on a target; each instance forgets the target's report
    // long before the next one and takes it for empty. Cause: reports faded
    // in a fixed time. Credit so: 0.845, with 3,650 late; 0.873 and 2,757
    // since they fade by how often they come.
    const report = playLoad({
      seed: 1,
      targetsPerRegion: { rvk: 33, aey: 134, egs: 163 },
      target: { slots: 9, queue: 27, workMs: 3216, warmGain: 0.7, remembers: 70 },
      objectsPerRegion: 239,
      instancesPerRegion: 9,
      skew: 0.35,
      rate: (region, at) =>
        (at > 5000 ? 500 : 290) *
        (1 + 0.55 * Math.sin(2 * Math.PI * (at / PERIOD_MS + PHASE[region]))),
      lengthMs: 15_000,
      objectiveMs: 1532,
      deadlineMs: 12_000,
      betweenRegionsMs: 20,
      rule: productRule,
    });
    console.log(`credit of a large fleet ${report.credit.toFixed(3)}, late ${report.late}`);
    expect(report.credit).toBeGreaterThan(0.86);
  });

  it('refuses at once: no caller is held before it hears that there is no room', () => {
    const report = heavyDay(productRule, 5, 600);
    expect(report.refused).toBeGreaterThan(0);
    expect(report.slowestRefusalMs).toBe(0);
  });
});
