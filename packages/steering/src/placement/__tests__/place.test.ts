/** Placement: which target takes a request, and when none may. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  failureDomainName,
  objectKey,
  regionName,
  serviceName,
  targetId,
} from '@cardamomladder/types';
import type { PlacementRequest, ServicePool } from '../pool';
import { CrossRegionSpillover } from '../crossRegionSpillover';
import { place } from '../place';
import { Rankings } from '../rankings';
import { DEFAULT_PER_SLOT } from '../queueLimit';
import type { TargetState } from '../target';
import { newTarget } from '../target';
import { PriorityBaseline } from '../priorityBaseline';

const SLOTS = 10;

const targetIn = (domain: string, n: number): TargetState =>
  newTarget({
    id: targetId(`${domain}-${n}`),
    service: serviceName('s'),
    address: `${domain}-${n}`,
    failureDomain: failureDomainName(domain),
    region: regionName(domain.split('-')[0]),
    slots: SLOTS,
  });
const poolOf = (targets: TargetState[], changes: Partial<ServicePool> = {}): ServicePool => ({
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
  spillover: new CrossRegionSpillover(),
  evacuated: () => false,
  coldShare: () => 0,
  limitShare: () => ({ intervalMs: 1000, initialDelayFraction: 1 }),
  ...changes,
});
const sixTargets = () =>
  ['north-a', 'north-b', 'south-a'].flatMap((d) => [targetIn(d, 1), targetIn(d, 2)]);
const requestFor = (key: string, changes: Partial<PlacementRequest> = {}): PlacementRequest => ({
  key: objectKey(key),
  locality: 'balanced',
  homeRegions: [],
  tried: new Set(),
  now: 1000,
  ...changes,
});
const fill = (target: TargetState) => target.load.recordReport(SLOTS * DEFAULT_PER_SLOT, 0, 1000);
const placedAt = (request: PlacementRequest, pool: ServicePool, rankings = new Rankings()) => {
  const outcome = place(request, pool, rankings);
  return outcome.kind === 'placed' ? outcome.target.id : outcome.reason;
};
const keys = Array.from({ length: 400 }, (_, i) => `object-${i}`);

describe('place', () => {
  it('sends an object to the same target from every instance, and moves few objects when a target joins', () => {
    const before = sixTargets();
    const after = [...sixTargets(), targetIn('north-b', 3)];
    const newTargets = keys.flatMap((key) => {
      const idBefore = placedAt(requestFor(key), poolOf(before));
      expect(placedAt(requestFor(key), poolOf(sixTargets()))).toBe(idBefore);
      const idAfter = placedAt(requestFor(key), poolOf(after));
      return idAfter === idBefore ? [] : [idAfter];
    });
    expect(new Set(newTargets)).toEqual(new Set(['north-b-3']));
    expect(newTargets.length).toBeLessThan(keys.length / 4);
  });

  it('uses only the first and second target of an object, then rejects immediately', () => {
    const targets = sixTargets();
    const pool = poolOf(targets);
    const first = placedAt(requestFor('x'), pool);
    targets.filter((t) => t.id === first).forEach(fill);
    const second = placedAt(requestFor('x'), pool);
    targets.filter((t) => t.id === second).forEach(fill);
    expect(new Set([first, second]).size).toBe(2);
    expect(place(requestFor('x'), pool, new Rankings())).toMatchObject({
      kind: 'rejected',
      reason: 'full',
      retryAfterMs: 250,
    });
  });

  it('never chooses a leaving, avoided, evacuated, tried or out-of-region target', () => {
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
          const request = requestFor(key, { tried, homeRegions: [regionName('north')] });
          const outcome = place(request, pool, new Rankings());
          if (outcome.kind === 'rejected') expect(states).not.toContain('open');
          else expect(outcome.target.failureDomain).toBe('north-open');
        },
      ),
    );
  });

  it('skips a cold target while another has capacity, and keeps to the cold share when none has', () => {
    // Guards against targets that crash or take a second to answer when they join
    // under load: a cold target that is treated as warm immediately ranks first
    // for its share of the objects.
    const targets = sixTargets();
    const pool = poolOf(targets, { coldShare: () => 2 });
    const cold = targets.find((t) => t.id === placedAt(requestFor('x'), pool))!;
    cold.coldUntil = 5000;
    expect(placedAt(requestFor('x'), pool)).not.toBe(cold.id);
    targets.filter((t) => t !== cold).forEach(fill);
    expect(placedAt(requestFor('x'), pool)).toBe(cold.id);
    cold.coldSends.add(1000, 2);
    expect(placedAt(requestFor('x'), pool)).toBe('full');
  });

  it('gives a request that missed its objective a free slot, but no place in a queue', () => {
    // Guards against rejecting new callers for seconds after a restart: callers
    // that waited through it return together and fill the queues, although none
    // of them can be answered in time any more.
    const targets = sixTargets();
    const pool = poolOf(targets);
    const late = requestFor('x', { objectiveMissed: true });
    const first = placedAt(late, pool);
    targets.forEach((t) => t.load.recordReport(SLOTS, 0, 1000));
    expect(placedAt(late, pool)).toBe('full');
    expect(placedAt(requestFor('x'), pool)).toBe(first);
  });

  it('accepts an urgent request where others are rejected', () => {
    // Guards against rejecting urgent requests because of less urgent ones.
    const targets = sixTargets();
    const pool = poolOf(targets);
    targets.forEach(fill);
    const usual = new PriorityBaseline();
    const isUrgent = [2, 2, 2, 1, 2].map((priority) => usual.observe(priority));
    const placed = isUrgent.map((urgent) => placedAt(requestFor('x', { urgent }), pool) !== 'full');
    expect(placed).toEqual([false, false, false, true, false]);
  });

  it('keeps an object where it is cached when its first target returns, while there is capacity', () => {
    // Guards against slow responses before and after each evacuation: the object's
    // target is evacuated and another one caches the object; when the first target
    // returns and the ranking alone decides, it has to load the object again.
    const targets = sixTargets();
    const pool = poolOf(targets);
    const rankings = new Rankings();
    const first = targets.find((t) => t.id === placedAt(requestFor('x'), pool, rankings))!;
    first.cachedObjects.add(objectKey('y'));
    first.avoidUntil = 2000;
    const substitute = targets.find((t) => t.id === placedAt(requestFor('x'), pool, rankings))!;
    substitute.cachedObjects.add(objectKey('x'));
    first.avoidUntil = 0;
    expect(placedAt(requestFor('x'), pool, rankings)).toBe(substitute.id);
    substitute.load.recordReport(SLOTS, 0, 1000);
    expect(placedAt(requestFor('x'), pool, rankings)).toBe(first.id);
  });

  it('gives a target with an empty cache its first objects', () => {
    const targets = sixTargets();
    const pool = poolOf(targets);
    const first = placedAt(requestFor('x'), pool);
    targets.filter((t) => t.id !== first).forEach((t) => t.cachedObjects.add(objectKey('x')));
    expect(placedAt(requestFor('x'), pool)).toBe(first);
  });

  it('keeps large responses in the local failure domain while it has its share of the slots', () => {
    const pool = poolOf(sixTargets());
    const placements = keys.map((key) => placedAt(requestFor(key, { locality: 'near' }), pool));
    expect(placements.every((id) => id.startsWith('north-a'))).toBe(true);
  });

  it('keeps large responses in the local region, each object on one target, if a failure domain has a single target', () => {
    // Guards against targets whose cache is too small for all objects of their region.
    const targets = [
      ...['north-a', 'north-b'].map((domain) => targetIn(domain, 1)),
      ...['south-a', 'south-b'].flatMap((domain) => [targetIn(domain, 1), targetIn(domain, 2)]),
    ];
    const placementsFrom = (domain: string) => {
      const pool = poolOf(targets, { ownDomain: failureDomainName(domain) });
      const rankings = new Rankings();
      return keys.map((key) => placedAt(requestFor(key, { locality: 'near' }), pool, rankings));
    };
    const placements = placementsFrom('north-a');
    expect(placements.every((id) => id.startsWith('north'))).toBe(true);
    expect(placementsFrom('north-b')).toEqual(placements);
    const atFirst = placements.filter((id) => id === 'north-a-1').length;
    expect(Math.abs(atFirst / keys.length - 0.5)).toBeLessThan(0.1);
  });
});
