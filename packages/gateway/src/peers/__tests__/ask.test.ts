/** Tests of the selection of peers that an instance queries while it cannot reach the store. */
import { describe, expect, it } from 'vitest';
import type { InstanceEntry } from '@cardamomladder/fleet';
import { instanceId, regionName, socketAddress } from '@cardamomladder/types';
import { selectPeers } from '../ask';

/** Number of rounds within which an instance must query outside its region: 1.2 s. */
const ROUNDS = 4;
const REGIONS = ['north', 'south', 'east'].map(regionName);

const fleetOf = (size: number): InstanceEntry[] =>
  Array.from({ length: size }, (_, number) => ({
    id: instanceId(`i-${number}`),
    peerAddress: socketAddress(`i-${number}:1`),
    region: REGIONS[number % REGIONS.length],
  })) as unknown as InstanceEntry[];

const askedBy = (fleet: readonly InstanceEntry[], self: InstanceEntry): Set<string> =>
  new Set(Array.from({ length: ROUNDS }, (_, round) => selectPeers(fleet, self, [], round)).flat());

describe('peer selection', () => {
  it.each([4, 9, 71, 195, 1200])(
    'in a fleet of %i covers other regions within 1.2 s, and differs between instances',
    (size) => {
      // Guards against stale state for 20 s in a region that has lost its
      // connection to the store: instances queried peers in a fixed order, those
      // of their own region first, which had lost the store too.
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

  it('is empty without known peers or seeds, and uses the seeds until a peer is known', () => {
    const [self] = fleetOf(1);
    expect(selectPeers([self], self, [], 0)).toEqual([]);
    expect(selectPeers([], self, ['seed:1', self.peerAddress], 3)).toEqual(['seed:1']);
  });
});
