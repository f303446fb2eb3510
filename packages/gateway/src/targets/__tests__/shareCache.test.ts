/** Shares of cold targets, kept while the fleet stays the same. */
import { describe, expect, it } from 'vitest';
import { Beliefs } from '@cardamomladder/fleet';
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
  const beliefs = new Beliefs();
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
    beliefs.take({ key: keyOf(i), revision, fact: { kind: 'instance', instance } });
  };
  const leave = (i: number) => {
    revision += 1;
    beliefs.remove(keyOf(i), revision);
  };
  const members = new FleetMembers(beliefs, () => at);
  const shares = new ShareCache(
    () => members.list(),
    (id, fleet, allowance) => coldShare(id, 'i-0', fleet, allowance),
  );
  Array.from({ length: size }, (_, i) => join(i));
  const expected = () => coldShare(TARGET, 'i-0', members.list(), ALLOWANCE);
  const advanceClock = (ms: number) => {
    at += ms;
  };
  return { shares, expected, join, leave, pass: advanceClock, members };
};

describe('the share of a cold target', () => {
  it('follows the fleet as instances join, leave, and are forgotten', () => {
    // Symptom: a cold target crashes though each instance kept to its share.
    // Sequence: a share is kept, the fleet grows, and the kept share is used.
    // Cause: what is kept has to go with any change of the fleet.
    const { shares, expected, join, leave, pass, members } = setUp(2);
    const expectCurrentShare = () => expect(shares.get(TARGET, ALLOWANCE)).toBe(expected());
    expectCurrentShare();
    join(2);
    join(3);
    expectCurrentShare();
    leave(3);
    expectCurrentShare();
    expect(members.size()).toBe(10);
    pass(31_000);
    expectCurrentShare();
    expect(members.size()).toBe(3);
    expect(shares.get(TARGET, 2 * ALLOWANCE)).toBe(
      coldShare(TARGET, 'i-0', members.list(), 2 * ALLOWANCE),
    );
  });
});
