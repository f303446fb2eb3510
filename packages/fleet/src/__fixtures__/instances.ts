/** Instance entries for tests. */
import { failureDomainName, instanceId, regionName, socketAddress } from '@cardamomladder/types';
import type { InstanceEntry } from '..';

/** An entry by id and place; its addresses are never called. */
export const instanceAt = (id: string, failureDomain: string, region: string): InstanceEntry => ({
  id: instanceId(id),
  callerAddress: socketAddress('127.0.0.1:1'),
  peerAddress: socketAddress('127.0.0.1:2'),
  failureDomain: failureDomainName(failureDomain),
  region: regionName(region),
});
