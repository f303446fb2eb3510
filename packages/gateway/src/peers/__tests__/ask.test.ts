/** Which peers an instance asks that the store turns away. */
import { describe, expect, it } from 'vitest';
import type { InstanceEntry } from '@cardamomladder/fleet';
import { instanceId, regionName, socketAddress } from '@cardamomladder/types';
import { peersToAsk } from '../ask';

/** Rounds within which an instance should have asked outside its region: 1.2 s. */
const ROUNDS = 4;
const REGIONS = ['north', 'south', 'east'].map(regionName);

const fleetOf = (size: number): InstanceEntry[] =>
  Array.from({ length: size }, (_, number) => ({
    id: instanceId(`i-${number}`),
    peerAddress: socketAddress(`i-${number}:1`),
    region: REGIONS[number % REGIONS.length],
  })) as unknown as InstanceEntry[];

const askedBy = (fleet: readonly InstanceEntry[], self: InstanceEntry): Set<string> =>
  new Set(Array.from({ length: ROUNDS }, (_, round) => peersToAsk(fleet, self, [], round)).flat());

describe('an instance that asks peers', () => {
  it.each([4, 9, 71, 195, 1200])(
    'of %i asks outside its own region within 1.2 s, and not the same as the others',
    (size) => {
      // Symptom: instances of a region that has lost the store keep what they
      // believed for 20 s. Sequence: the region's way to the store breaks; each
      // instance asks its peers. Cause: peers were asked in one order, those of
      // its own region first, which had lost the store too.
      const fleet = fleetOf(size);
      const regionOf = new Map(fleet.map((each) => [each.peerAddress as string, each.region]));
      const asked = fleet.map((self) => ({ self, addresses: askedBy(fleet, self) }));
      const inside = asked.filter(({ self, addresses }) =>
        [...addresses].every((address) => regionOf.get(address) === self.region),
      );
      expect(inside.map(({ self }) => self.id)).toEqual([]);
      const all = new Set(asked.flatMap(({ addresses }) => [...addresses]));
      expect(all.size).toBeGreaterThanOrEqual(size * 0.8);
    },
  );

  it('asks nobody when it knows nobody, and those of its settings before it knows any', () => {
    const [self] = fleetOf(1);
    expect(peersToAsk([self], self, [], 0)).toEqual([]);
    expect(peersToAsk([], self, ['seed:1', self.peerAddress], 3)).toEqual(['seed:1']);
  });
});
