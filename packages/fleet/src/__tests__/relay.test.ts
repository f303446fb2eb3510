/** All instances select the same relays, and followers of a relay miss no change. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { RecordChange, InstanceEntry, RegisteredInstance } from '..';
import { ChangeLog, relayCount, relaysFor } from '..';
import { INITIAL_EPOCH } from '../__fixtures__/follower';
import { instanceAt } from '../__fixtures__/instances';

const DOMAINS = [
  ['north-a', 'north'],
  ['north-b', 'north'],
  ['south-a', 'south'],
] as const;

const buildFleet = (places: readonly number[]): RegisteredInstance[] =>
  places.map((place, i) => ({
    instance: instanceAt(`i-${i}`, DOMAINS[place][0], DOMAINS[place][1]),
    revision: 10 + i,
  }));
/** The preferred relay of an instance; undefined if it watches the store itself. */
const firstRelayOf = (self: InstanceEntry, fleet: readonly RegisteredInstance[]) =>
  relaysFor(self, fleet, false)[0];
const placesArbitrary = fc.array(fc.integer({ min: 0, max: 2 }), { minLength: 1, maxLength: 90 });

describe('the relay of an instance', () => {
  it('watches the store itself, is in the same region, and is one of few', () => {
    fc.assert(
      fc.property(placesArbitrary, (placement) => {
        const fleet = buildFleet(placement);
        const watching = fleet.filter(({ instance }) => !firstRelayOf(instance, fleet));
        fleet.forEach(({ instance }) => {
          const followed = firstRelayOf(instance, fleet);
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
      fc.property(placesArbitrary, fc.nat(89), (placement, which) => {
        const fleet = buildFleet(placement);
        const first = fleet.find(({ instance }) => !firstRelayOf(instance, fleet));
        const restarted = fleet.map((r, i) =>
          i === which % fleet.length ? { ...r, revision: 1000 } : r,
        );
        if (!first || restarted.every((r, i) => r === fleet[i])) return;
        const changed = fleet[which % fleet.length].instance.id === first.instance.id;
        if (!changed) expect(firstRelayOf(first.instance, restarted)).toBeUndefined();
      }),
    );
  });

  it('does not exist for an instance without an entry: only its own calls show that the store rejects it', () => {
    expect(
      firstRelayOf(instanceAt('i-9', 'north-a', 'north'), buildFleet([0, 0, 1])),
    ).toBeUndefined();
  });

  it('is an existing instance for one that has not been registered yet', () => {
    const [first] = relaysFor(instanceAt('i-9', 'north-a', 'north'), buildFleet([0, 0, 1]), true);
    expect(first.id).toBe('i-0');
  });

  it('has a fallback in regions with more than a few instances', () => {
    // Guards against a hundred store calls per second from when a relay stops until
    // its entry is removed: followers that knew only one relay detected the stop
    // at the same time and all watched the store themselves.
    const fleet = buildFleet(Array.from({ length: 65 }, () => 0));
    const followers = fleet.map(({ instance }) => relaysFor(instance, fleet, false));
    const following = followers.filter((relays) => relays.length > 0);
    expect(following).toHaveLength(63);
    following.forEach((relays) => expect(new Set(relays).size).toBe(2));
    const firsts = following.map(([first]) => first.id);
    expect(firsts.filter((id) => id === 'i-0').length).toBeGreaterThan(20);
    expect(firsts.filter((id) => id === 'i-1').length).toBeGreaterThan(20);
  });

  it('is a high-capacity instance if capacities differ', () => {
    const fleet = buildFleet(Array.from({ length: 30 }, () => 0)).map((registered, i) => ({
      ...registered,
      instance: {
        ...registered.instance,
        capacity: { cores: i >= 24 ? 1.35 : 0.27, linkMbps: 200 },
      },
    }));
    const watching = fleet.filter(({ instance }) => !firstRelayOf(instance, fleet));
    expect(watching.map(({ instance }) => instance.id)).toEqual(['i-24', 'i-25']);
  });
});

const removal = (revision: number): RecordChange => ({
  key: `k-${revision}`,
  revision,
  removed: true,
});

describe('the change log', () => {
  it('returns every change after the requested revision, or none', () => {
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
            if (listed) log.reset({ epoch: INITIAL_EPOCH, revision: at + count });
            else log.add(at, { changes, epoch: INITIAL_EPOCH, revision: at + count });
            at += count;
          });
          const given = log.since({ epoch: INITIAL_EPOCH, revision: asked });
          if (given)
            expect(given.map((c) => c.revision)).toEqual(
              all.filter((revision) => revision > asked),
            );
        },
      ),
    );
  });

  it('is reset after a gap and does not claim the changes in between', () => {
    const log = new ChangeLog();
    log.add(0, { changes: [removal(1)], epoch: INITIAL_EPOCH, revision: 1 });
    log.add(5, { changes: [removal(6)], epoch: INITIAL_EPOCH, revision: 6 });
    expect(log.since({ epoch: INITIAL_EPOCH, revision: 1 })).toBeUndefined();
    expect(log.since({ epoch: INITIAL_EPOCH, revision: 5 })).toEqual([removal(6)]);
  });
});
