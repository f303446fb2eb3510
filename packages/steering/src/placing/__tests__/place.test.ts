/** Placing: which target takes a request, and when none may. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  failureDomainName,
  objectKey,
  regionName,
  serviceName,
  targetId,
} from '@cardamomladder/types';
import type { Placement, ServicePool } from '../pool';
import { HelpAbroad } from '../helpAbroad';
import { place } from '../place';
import { Rankings } from '../rankings';
import { PER_SLOT_UNKNOWN } from '../queueLimit';
import type { PlacedTarget } from '../target';
import { newTarget } from '../target';
import { UsualPriority } from '../usualPriority';

const SLOTS = 10;

const targetIn = (domain: string, n: number): PlacedTarget =>
  newTarget({
    id: targetId(`${domain}-${n}`),
    service: serviceName('s'),
    address: `${domain}-${n}`,
    failureDomain: failureDomainName(domain),
    region: regionName(domain.split('-')[0]),
    slots: SLOTS,
  });
const poolOf = (targets: PlacedTarget[], changes: Partial<ServicePool> = {}): ServicePool => ({
  targets,
  generation: 1,
  ownRegion: regionName('north'),
  ownDomain: failureDomainName('north-a'),
  demand: new Map([
    [regionName('north'), 1],
    [regionName('south'), 1],
  ]),
  domainDemand: new Map([
    [failureDomainName('north-a'), 1],
    [failureDomainName('north-b'), 1],
  ]),
  helpAbroad: new HelpAbroad(),
  evacuated: () => false,
  coldShare: () => 0,
  limitShare: () => ({ intervalMs: 1000, phase: 1 }),
  ...changes,
});
const sixTargets = () =>
  ['north-a', 'north-b', 'south-a'].flatMap((d) => [targetIn(d, 1), targetIn(d, 2)]);
const asking = (key: string, changes: Partial<Placement> = {}): Placement => ({
  key: objectKey(key),
  locality: 'balanced',
  homeRegions: [],
  tried: new Set(),
  now: 1000,
  ...changes,
});
const fill = (target: PlacedTarget) => target.load.takeReport(SLOTS * PER_SLOT_UNKNOWN, 0, 1000);
const placedAt = (request: Placement, pool: ServicePool, rankings = new Rankings()) => {
  const outcome = place(request, pool, rankings);
  return outcome.kind === 'placed' ? outcome.target.id : outcome.reason;
};
const keys = Array.from({ length: 400 }, (_, i) => `object-${i}`);

describe('place', () => {
  it('sends an object to the same target whichever instance asks, and moves few when one joins', () => {
    const before = sixTargets();
    const after = [...sixTargets(), targetIn('north-b', 3)];
    const movedTo = keys.flatMap((key) => {
      const was = placedAt(asking(key), poolOf(before));
      expect(placedAt(asking(key), poolOf(sixTargets()))).toBe(was);
      const is = placedAt(asking(key), poolOf(after));
      return is === was ? [] : [is];
    });
    expect(new Set(movedTo)).toEqual(new Set(['north-b-3']));
    expect(movedTo.length).toBeLessThan(keys.length / 4);
  });

  it('uses only the first and second target of an object, then rejects at once', () => {
    const targets = sixTargets();
    const pool = poolOf(targets);
    const first = placedAt(asking('x'), pool);
    targets.filter((t) => t.id === first).forEach(fill);
    const second = placedAt(asking('x'), pool);
    targets.filter((t) => t.id === second).forEach(fill);
    expect(new Set([first, second]).size).toBe(2);
    expect(place(asking('x'), pool, new Rankings())).toMatchObject({
      kind: 'rejected',
      reason: 'full',
      retryAfterMs: 250,
    });
  });

  it('never chooses a leaving, avoided, evacuated, tried or foreign target', () => {
    fc.assert(
      fc.property(
        fc.array(fc.constantFrom('leaving', 'avoided', 'evacuated', 'tried', 'foreign', 'open'), {
          minLength: 6,
          maxLength: 6,
        }),
        fc.constantFrom(...keys),
        (states, key) => {
          const targets = states.map((state, i) =>
            targetIn(state === 'foreign' ? 'south-x' : `north-${state}`, i),
          );
          targets.forEach((target, i) => {
            target.leaving = states[i] === 'leaving';
            target.avoidUntil = states[i] === 'avoided' ? 2000 : 0;
          });
          const tried = new Set(targets.filter((_, i) => states[i] === 'tried').map((t) => t.id));
          const pool = poolOf(targets, { evacuated: (domain) => domain === 'north-evacuated' });
          const request = asking(key, { tried, homeRegions: [regionName('north')] });
          const outcome = place(request, pool, new Rankings());
          if (outcome.kind === 'rejected') expect(states).not.toContain('open');
          else expect(outcome.target.failureDomain).toBe('north-open');
        },
      ),
    );
  });

  it('passes over a cold target while another has room, and keeps to its share when none has', () => {
    // Symptom: targets that join under load crash, or answer in a second.
    // Sequence: a target joins cold and ranks first for its part of the
    // objects at once. Cause: it was taken for a warm one.
    const targets = sixTargets();
    const pool = poolOf(targets, { coldShare: () => 2 });
    const cold = targets.find((t) => t.id === placedAt(asking('x'), pool))!;
    cold.coldUntil = 5000;
    expect(placedAt(asking('x'), pool)).not.toBe(cold.id);
    targets.filter((t) => t !== cold).forEach(fill);
    expect(placedAt(asking('x'), pool)).toBe(cold.id);
    cold.coldSends.add(1000, 2);
    expect(placedAt(asking('x'), pool)).toBe('full');
  });

  it('gives a caller that is late already a free slot, but no place in a queue', () => {
    // Symptom: after a restart callers that just came are refused for seconds.
    // Sequence: callers that waited through it return together and fill the
    // queues; none of them can be answered in time any more. Cause: all
    // callers queued alike.
    const targets = sixTargets();
    const pool = poolOf(targets);
    const late = asking('x', { lateAlready: true });
    const first = placedAt(late, pool);
    targets.forEach((t) => t.load.takeReport(SLOTS, 0, 1000));
    expect(placedAt(late, pool)).toBe('full');
    expect(placedAt(asking('x'), pool)).toBe(first);
  });

  it('keeps a place for an urgent request where others are refused', () => {
    // Guards against urgent requests that are refused behind less urgent ones.
    const targets = sixTargets();
    const pool = poolOf(targets);
    targets.forEach(fill);
    const usual = new UsualPriority();
    const isUrgent = [2, 2, 2, 1, 2].map((priority) => usual.take(priority));
    const placed = isUrgent.map((urgent) => placedAt(asking('x', { urgent }), pool) !== 'full');
    expect(placed).toEqual([false, false, false, true, false]);
  });

  it('keeps an object where it is remembered when its first target returns, while there is room', () => {
    // Symptom: answers are late twice around each evacuation. Sequence: the
    // object's target is evacuated, another one learns the object; the first
    // returns, and has to learn it anew. Cause: the ranking alone decided.
    const targets = sixTargets();
    const pool = poolOf(targets);
    const rankings = new Rankings();
    const first = targets.find((t) => t.id === placedAt(asking('x'), pool, rankings))!;
    first.objects.note(objectKey('y'));
    first.avoidUntil = 2000;
    const standIn = targets.find((t) => t.id === placedAt(asking('x'), pool, rankings))!;
    standIn.objects.note(objectKey('x'));
    first.avoidUntil = 0;
    expect(placedAt(asking('x'), pool, rankings)).toBe(standIn.id);
    standIn.load.takeReport(SLOTS, 0, 1000);
    expect(placedAt(asking('x'), pool, rankings)).toBe(first.id);
  });

  it('gives a target that knows no object yet its first ones', () => {
    const targets = sixTargets();
    const pool = poolOf(targets);
    const first = placedAt(asking('x'), pool);
    targets.filter((t) => t.id !== first).forEach((t) => t.objects.note(objectKey('x')));
    expect(placedAt(asking('x'), pool)).toBe(first);
  });

  it('keeps large answers in the own failure domain while it has its part of the slots', () => {
    const pool = poolOf(sixTargets());
    const places = keys.map((key) => placedAt(asking(key, { locality: 'near' }), pool));
    expect(places.every((id) => id.startsWith('north-a'))).toBe(true);
  });

  it('keeps large answers in the own region, each object on one target, where a failure domain has a single one', () => {
    // Guards against targets whose memory is too small for all objects of their region.
    const targets = [
      ...['north-a', 'north-b'].map((domain) => targetIn(domain, 1)),
      ...['south-a', 'south-b'].flatMap((domain) => [targetIn(domain, 1), targetIn(domain, 2)]),
    ];
    const placesFrom = (domain: string) => {
      const pool = poolOf(targets, { ownDomain: failureDomainName(domain) });
      const rankings = new Rankings();
      return keys.map((key) => placedAt(asking(key, { locality: 'near' }), pool, rankings));
    };
    const places = placesFrom('north-a');
    expect(places.every((id) => id.startsWith('north'))).toBe(true);
    expect(placesFrom('north-b')).toEqual(places);
    const atFirst = places.filter((id) => id === 'north-a-1').length;
    expect(Math.abs(atFirst / keys.length - 0.5)).toBeLessThan(0.1);
  });
});
