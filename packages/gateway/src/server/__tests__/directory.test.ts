/** Whom the directory names: strong machines while they can carry the callers. */
import { describe, expect, it } from 'vitest';
import type { InstanceEntry } from '@cardamomladder/fleet';
import { failureDomainName, instanceId, regionName, socketAddress } from '@cardamomladder/types';
import { strongOf } from '@cardamomladder/fleet';
import { nearest } from '../directory';

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

describe('the instances named to callers', () => {
  it('are the strong ones of a failure domain with many weak ones', () => {
    // Symptom: downloads are late on a calm day. Sequence: callers choose a
    // name at random; six of seven names are machines with a link of
    // 10 Mbit/s. Cause: all instances were named alike.
    const group = [...several(2, 1.35, 200, 'strong'), ...several(12, 0.27, 10, 'weak')];
    expect(idsOf(strongOf(group))).toEqual(['strong-0', 'strong-1']);
  });

  it('are all while the machines are alike', () => {
    const group = [machine('a', 0.54, 1000), machine('b', 0.6, 900), machine('c', 0.5, 1000)];
    expect(strongOf(group)).toEqual(group);
  });

  it('are all when the strong ones are too few to carry the callers', () => {
    const oneLeft = [...several(1, 1.35, 200, 'strong'), ...several(2, 0.27, 10, 'weak')];
    expect(strongOf(oneLeft)).toEqual(oneLeft);
    const outnumbered = [...several(2, 1.35, 200, 'strong'), ...several(30, 0.27, 10, 'weak')];
    expect(strongOf(outnumbered)).toEqual(outnumbered);
  });

  it('are judged within the group that is named: a strong machine elsewhere hides nobody', () => {
    const here = [machine('a', 0.27, 10), machine('b', 0.27, 10)];
    const elsewhere = [machine('c', 1.35, 200, 'north-b'), machine('d', 1.35, 200, 'north-b')];
    const question = { region: 'north', failureDomain: 'north-a' };
    expect(nearest([...here, ...elsewhere], question)).toEqual(['a:1', 'b:1']);
  });
});
