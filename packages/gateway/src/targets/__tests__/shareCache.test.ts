/** Shares of cold targets, cached while the fleet is unchanged. */
import { describe, expect, it } from 'vitest';
import { ClusterState } from '@cardamomladder/fleet';
import { coldShare } from '@cardamomladder/steering';
import {
  failureDomainName,
  instanceId,
  regionName,
  socketAddress,
  targetId,
} from '@cardamomladder/types';
import { FleetMembers } from '../../lifecycle/fleetMembers';
import { ShareCache } from '../shareCache';

const ALLOWANCE = 13;
const TARGET = targetId('t-1');

const setUp = (size: number) => {
  const clusterState = new ClusterState();
  let at = 0;
  let revision = 0;
  const keyOf = (i: number) => `instances/i-${i}`;
  const join = (i: number) => {
    revision += 1;
    const instance = {
      id: instanceId(`i-${i}`),
      callerAddress: socketAddress('127.0.0.1:1'),
      peerAddress: socketAddress('127.0.0.1:2'),
      failureDomain: failureDomainName('north-a'),
      region: regionName('north'),
      capacity: { cores: 1, linkMbps: 1000 },
    };
    clusterState.applyChange({ key: keyOf(i), revision, fact: { kind: 'instance', instance } });
  };
  const leave = (i: number) => {
    revision += 1;
    clusterState.removeRecord(keyOf(i), revision);
  };
  const members = new FleetMembers(clusterState, () => at);
  const shares = new ShareCache(
    () => members.list(),
    (id, fleet, allowance) => coldShare(id, 'i-0', fleet, allowance),
  );
  Array.from({ length: size }, (_, i) => join(i));
  const expected = () => coldShare(TARGET, 'i-0', members.list(), ALLOWANCE);
  const advanceClock = (ms: number) => {
    at += ms;
  };
  return { shares, expected, join, leave, advanceClock, members };
};

describe('the share of a cold target', () => {
  it('is updated when instances join, leave, and are no longer counted', () => {
    // Failure: a cold target crashed although each instance stayed within its
    // share. The fleet had grown, but the share cached before was still used; any
    // change of the fleet must invalidate it.
    const { shares, expected, join, leave, advanceClock, members } = setUp(2);
    const expectCurrentShare = () => expect(shares.get(TARGET, ALLOWANCE)).toBe(expected());
    expectCurrentShare();
    join(2);
    join(3);
    expectCurrentShare();
    leave(3);
    expectCurrentShare();
    expect(members.size()).toBe(10);
    advanceClock(31_000);
    expectCurrentShare();
    expect(members.size()).toBe(3);
    expect(shares.get(TARGET, 2 * ALLOWANCE)).toBe(
      coldShare(TARGET, 'i-0', members.list(), 2 * ALLOWANCE),
    );
  });
});
