/** Tests of the advertised instances, among which shared limits are divided. */
import { describe, expect, it } from 'vitest';
import type { InstanceEntry } from '@cardamomladder/fleet';
import { ClusterState } from '@cardamomladder/fleet';
import { failureDomainName, instanceId, regionName, socketAddress } from '@cardamomladder/types';
import { AdvertisedInstances } from '../advertisedInstances';

const machine = (id: string, cores: number): InstanceEntry => ({
  id: instanceId(id),
  callerAddress: socketAddress(`${id}:1`),
  peerAddress: socketAddress(`${id}:2`),
  failureDomain: failureDomainName('north-a'),
  region: regionName('north'),
  capacity: { cores, linkMbps: cores * 100 },
});

const fleet = () => {
  const clusterState = new ClusterState();
  const clock = { now: 0 };
  const advertised = new AdvertisedInstances(clusterState, () => clock.now);
  const key = (id: string) => `instances/${id}`;
  let revision = 0;
  const join = (instance: InstanceEntry) => {
    revision += 1;
    clusterState.applyChange({
      key: key(instance.id),
      revision,
      fact: { kind: 'instance', instance },
    });
  };
  const leave = (id: string) => {
    revision += 1;
    clusterState.applyChange({ key: key(id), revision, removed: true });
  };
  const ids = () => [...advertised.sharers().ids].sort();
  return { clock, advertised, join, leave, ids };
};

describe('advertised instances', () => {
  it('are the high-capacity ones, and still count for a while after their removal', () => {
    // Guards against shares that grow while partitioned instances still use theirs.
    const { clock, join, leave, ids } = fleet();
    [machine('s-1', 1), machine('s-2', 1), machine('w-1', 0.2), machine('w-2', 0.2)].forEach(join);
    expect(ids()).toEqual(['s-1', 's-2']);
    clock.now = 10_000;
    leave('s-1');
    expect(ids()).toEqual(['s-1', 's-2', 'w-1', 'w-2']);
    clock.now = 45_000;
    expect(ids()).toEqual(['s-2', 'w-1', 'w-2']);
  });

  it('are assumed to be more after startup, when not all entries may be known', () => {
    const { clock, advertised, join } = fleet();
    join(machine('s-1', 1));
    expect(advertised.sharers().size).toBe(10);
    clock.now = 4000;
    expect(advertised.sharers().size).toBe(1);
  });
});
