/** Instance and target records for tests. */
import {
  failureDomainName,
  instanceId,
  regionName,
  serviceName,
  socketAddress,
  targetId,
} from '@cardamomladder/types';
import type { StoreRecord, InstanceEntry } from '..';

/** Creates a target record at a revision. */
export const targetRecord = (id: string, revision: number): StoreRecord => ({
  key: `targets/${id}`,
  revision,
  fact: {
    kind: 'target',
    target: {
      id: targetId(id),
      service: serviceName('s'),
      address: socketAddress('127.0.0.1:1'),
      failureDomain: failureDomainName('north-a'),
      slots: 1,
      leaving: false,
      coldForMs: 0,
      writes: 1,
    },
  },
});

/** Creates an instance entry; no connection is made to its addresses. */
export const instanceAt = (id: string, failureDomain: string, region: string): InstanceEntry => ({
  id: instanceId(id),
  callerAddress: socketAddress('127.0.0.1:1'),
  peerAddress: socketAddress('127.0.0.1:2'),
  failureDomain: failureDomainName(failureDomain),
  region: regionName(region),
  capacity: { cores: 1, linkMbps: 1000 },
});

/** Creates records for instances i-0, i-1 and so on in one failure domain, registered in this order from revision 1 on. */
export const registeredInstances = (count: number): StoreRecord[] =>
  Array.from({ length: count }, (_, i) => ({
    key: `instances/i-${i}`,
    revision: i + 1,
    fact: { kind: 'instance', instance: instanceAt(`i-${i}`, 'north-a', 'north') },
  }));
