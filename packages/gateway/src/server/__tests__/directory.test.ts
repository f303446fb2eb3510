/** Tests of the instances that the directory advertises: the high-capacity ones, if they have enough capacity. */
import { describe, expect, it } from 'vitest';
import type { InstanceEntry } from '@cardamomladder/fleet';
import { failureDomainName, instanceId, regionName, socketAddress } from '@cardamomladder/types';
import { highCapacityInstances } from '@cardamomladder/fleet';
import { nearestInstances } from '../directory';

const machine = (
  id: string,
  cores: number,
  linkMbps: number,
  failureDomain = 'north-a',
): InstanceEntry => ({
  id: instanceId(id),
  callerAddress: socketAddress(`${id}:1`),
  peerAddress: socketAddress(`${id}:2`),
  failureDomain: failureDomainName(failureDomain),
  region: regionName('north'),
  capacity: { cores, linkMbps },
});
const several = (count: number, cores: number, linkMbps: number, name: string) =>
  Array.from({ length: count }, (_, i) => machine(`${name}-${i}`, cores, linkMbps));
const idsOf = (group: readonly InstanceEntry[]) => group.map(({ id }) => id as string);

describe('instances advertised to callers', () => {
  it('are the high-capacity ones of a failure domain with many low-capacity ones', () => {
    // Guards against slow downloads without any faults: when all instances were
    // advertised alike, callers chose one at random, and six of seven were
    // machines with a 10 Mbit/s link.
    const group = [...several(2, 1.35, 200, 'strong'), ...several(12, 0.27, 10, 'weak')];
    expect(idsOf(highCapacityInstances(group))).toEqual(['strong-0', 'strong-1']);
  });

  it('are all instances if the machines are alike', () => {
    const group = [machine('a', 0.54, 1000), machine('b', 0.6, 900), machine('c', 0.5, 1000)];
    expect(highCapacityInstances(group)).toEqual(group);
  });

  it('are all instances if the high-capacity ones have too little capacity', () => {
    const oneLeft = [...several(1, 1.35, 200, 'strong'), ...several(2, 0.27, 10, 'weak')];
    expect(highCapacityInstances(oneLeft)).toEqual(oneLeft);
    const outnumbered = [...several(2, 1.35, 200, 'strong'), ...several(30, 0.27, 10, 'weak')];
    expect(highCapacityInstances(outnumbered)).toEqual(outnumbered);
  });

  it('are compared only within the selected group, not with high-capacity instances of other failure domains', () => {
    const here = [machine('a', 0.27, 10), machine('b', 0.27, 10)];
    const elsewhere = [machine('c', 1.35, 200, 'north-b'), machine('d', 1.35, 200, 'north-b')];
    const query = { region: 'north', failureDomain: 'north-a' };
    expect(nearestInstances([...here, ...elsewhere], query)).toEqual(['a:1', 'b:1']);
  });
});
