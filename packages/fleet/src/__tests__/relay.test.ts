/** Instances choose alike who watches the store for whom, and lose no change by it. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { FactChange, InstanceEntry, RegisteredInstance } from '..';
import { ChangeLog, relayCount, relaysOf } from '..';
import { FIRST_EPOCH } from '../__fixtures__/follower';
import { instanceAt } from '../__fixtures__/instances';

const DOMAINS = [
  ['north-a', 'north'],
  ['north-b', 'north'],
  ['south-a', 'south'],
] as const;

const fleetOf = (places: readonly number[]): RegisteredInstance[] =>
  places.map((place, i) => ({
    instance: instanceAt(`i-${i}`, DOMAINS[place][0], DOMAINS[place][1]),
    revision: 10 + i,
  }));
/** The one that is followed first; undefined when the instance watches the store itself. */
const relayOf = (self: InstanceEntry, fleet: readonly RegisteredInstance[]) =>
  relaysOf(self, fleet, false)[0];
const places = fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 1, maxLength: 90 });

describe('the instance that is followed', () => {
  it('watches the store itself, stands in the same region, and is one of few', () => {
    fc.assert(
      fc.property(places, (drawn) => {
        const fleet = fleetOf(drawn);
        const watching = fleet.filter(({ instance }) => !relayOf(instance, fleet));
        fleet.forEach(({ instance }) => {
          const followed = relayOf(instance, fleet);
          if (!followed) return;
          expect(followed.region).toBe(instance.region);
          expect(watching.map((w) => w.instance.id)).toContain(followed.id);
        });
        const regions = ['north', 'south'].map(
          (name) => fleet.filter(({ instance }) => instance.region === name).length,
        );
        expect(watching.length).toBe(regions.reduce((sum, size) => sum + relayCount(size), 0));
      }),
    );
  });

  it('stays the same when others join or restart', () => {
    fc.assert(
      fc.property(places, fc.nat(89), (drawn, which) => {
        const fleet = fleetOf(drawn);
        const first = fleet.find(({ instance }) => !relayOf(instance, fleet));
        const restarted = fleet.map((r, i) =>
          i === which % fleet.length ? { ...r, revision: 1000 } : r,
        );
        if (!first || restarted.every((r, i) => r === fleet[i])) return;
        const changed = fleet[which % fleet.length].instance.id === first.instance.id;
        if (!changed) expect(relayOf(first.instance, restarted)).toBeUndefined();
      }),
    );
  });

  it('is nobody for an instance without an entry: only its own calls show that the store turns it away', () => {
    expect(relayOf(instanceAt('i-9', 'north-a', 'north'), fleetOf([0, 0, 1]))).toBeUndefined();
  });

  it('is one that runs already, for an instance that has not been registered yet', () => {
    const [first] = relaysOf(instanceAt('i-9', 'north-a', 'north'), fleetOf([0, 0, 1]), true);
    expect(first.id).toBe('i-0');
  });

  it('has a stand-in in a region of more than a few instances', () => {
    // Symptom: a relay is stopped, and the store gets a hundred calls a second
    // until its entry is gone. Sequence: its followers find out together and
    // watch the store themselves. Cause: each knew of one relay only.
    const fleet = fleetOf(Array.from({ length: 65 }, () => 0));
    const followers = fleet.map(({ instance }) => relaysOf(instance, fleet, false));
    const following = followers.filter((relays) => relays.length > 0);
    expect(following).toHaveLength(63);
    following.forEach((relays) => expect(new Set(relays).size).toBe(2));
    const firsts = following.map(([first]) => first.id);
    expect(firsts.filter((id) => id === 'i-0').length).toBeGreaterThan(20);
    expect(firsts.filter((id) => id === 'i-1').length).toBeGreaterThan(20);
  });

  it('is a strong one where machines differ', () => {
    const fleet = fleetOf(Array.from({ length: 30 }, () => 0)).map((registered, i) => ({
      ...registered,
      instance: {
        ...registered.instance,
        capacity: { cores: i >= 24 ? 1.35 : 0.27, linkMbps: 200 },
      },
    }));
    const watching = fleet.filter(({ instance }) => !relayOf(instance, fleet));
    expect(watching.map(({ instance }) => instance.id)).toEqual(['i-24', 'i-25']);
  });
});

const removal = (revision: number): FactChange => ({
  key: `k-${revision}`,
  revision,
  removed: true,
});

describe('the changes kept for peers', () => {
  it('are every change after the revision asked for, or none are given', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.integer({ min: 1, max: 900 }), fc.boolean()), { maxLength: 12 }),
        fc.nat(6000),
        (steps, asked) => {
          const log = new ChangeLog();
          const all: number[] = [];
          let at = 0;
          steps.forEach(([count, listed]) => {
            const changes = Array.from({ length: count }, (_, i) => removal(at + i + 1));
            all.push(...changes.map((c) => c.revision));
            if (listed) log.restart({ epoch: FIRST_EPOCH, revision: at + count });
            else log.add(at, { changes, epoch: FIRST_EPOCH, revision: at + count });
            at += count;
          });
          const given = log.since({ epoch: FIRST_EPOCH, revision: asked });
          if (given)
            expect(given.map((c) => c.revision)).toEqual(
              all.filter((revision) => revision > asked),
            );
        },
      ),
    );
  });

  it('start again after a gap: what came in between is not claimed', () => {
    const log = new ChangeLog();
    log.add(0, { changes: [removal(1)], epoch: FIRST_EPOCH, revision: 1 });
    log.add(5, { changes: [removal(6)], epoch: FIRST_EPOCH, revision: 6 });
    expect(log.since({ epoch: FIRST_EPOCH, revision: 1 })).toBeUndefined();
    expect(log.since({ epoch: FIRST_EPOCH, revision: 5 })).toEqual([removal(6)]);
  });
});
