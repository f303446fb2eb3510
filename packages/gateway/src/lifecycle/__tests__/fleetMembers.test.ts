import type { RecordChange } from '@cardamomladder/fleet';
import { ClusterState } from '@cardamomladder/fleet';
import { coldShare } from '@cardamomladder/steering';
import { failureDomainName, instanceId, regionName, socketAddress } from '@cardamomladder/types';
import { describe, expect, it } from 'vitest';
import { FleetMembers } from '../fleetMembers';

const TOLERATED = 13.7;
const MINUTE_MS = 60_000;

const names = (size: number) => Array.from({ length: size }, (_, i) => instanceId(`i-${i}`));

const entryOf = (id: ReturnType<typeof instanceId>, revision: number): RecordChange => ({
  key: `instances/${id}`,
  revision,
  fact: {
    kind: 'instance',
    instance: {
      id,
      callerAddress: socketAddress('127.0.0.1:1'),
      peerAddress: socketAddress('127.0.0.1:2'),
      failureDomain: failureDomainName('north-a'),
      region: regionName('north'),
      capacity: { cores: 1, linkMbps: 1000 },
    },
  },
});
const memberOf = (id: ReturnType<typeof instanceId>, revision: number): RecordChange => ({
  key: `members/${id}`,
  revision,
  fact: { kind: 'member', id },
});

/** The shares of a cold target's rate, of instances that started before all entries lapsed and of others that start afterwards. */
const sharesAfterLapse = (size: number, restarted: number): number => {
  let now = 0;
  const ids = names(size);
  return ids
    .map((self, i) => {
      const state = new ClusterState(() => now);
      const fleet = new FleetMembers(state, () => now);
      ids.forEach((id, n) => state.applyChange(memberOf(id, n + 1)));
      if (i >= restarted) {
        ids.forEach((id, n) => state.applyChange(entryOf(id, size + n + 1)));
        ids.forEach((id) => state.removeRecord(`instances/${id}`, 3 * size));
        now += 2 * MINUTE_MS;
      }
      return coldShare('target', self, fleet.list(), TOLERATED);
    })
    .reduce((a, b) => a + b);
};

describe('shares of what the whole fleet may send', () => {
  it.each([
    [1, 1],
    [8, 2],
    [8, 8],
    [300, 40],
    [300, 300],
  ])(
    'of %d instances, %d started anew, stay within it after all entries have lapsed',
    (size, restarted) => {
      // Guards against shares that are divided by the entries found at the start, or still there after a while.
      expect(sharesAfterLapse(size, restarted)).toBeLessThanOrEqual(TOLERATED);
      expect(sharesAfterLapse(size, restarted)).toBeGreaterThan(0);
    },
  );

  it('are divided among fewer instances once a member has been removed', () => {
    // Guards against shares that stay small after a fleet has shrunk.
    const state = new ClusterState();
    const fleet = new FleetMembers(state, () => 0);
    names(3).forEach((id, n) => state.applyChange(memberOf(id, n + 1)));
    expect(fleet.list()).toHaveLength(3);
    state.removeRecord('members/i-2', 9);
    expect(fleet.list()).toHaveLength(2);
  });
});
