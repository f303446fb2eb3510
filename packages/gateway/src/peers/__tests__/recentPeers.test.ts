/** Tests of the peers that count as alive because they were seen directly. */
import { describe, expect, it } from 'vitest';
import type { InstanceEntry } from '@cardamomladder/fleet';
import { instanceId } from '@cardamomladder/types';
import { RecentPeers } from '../recentPeers';

const PEER = { id: instanceId('north-1') } as InstanceEntry;

describe('a peer that was seen directly', () => {
  it('is listed for a limited time although the store has no entry of it', () => {
    let now = 0;
    const recentPeers = new RecentPeers(() => now);
    recentPeers.record(PEER);
    now = 1500;
    expect(recentPeers.list()).toEqual([PEER]);
    now = 1501;
    expect(recentPeers.list()).toEqual([]);
  });

  it('is dropped when its entry is removed, until it is seen again', () => {
    // Guards against callers being sent to an instance for 1.5 s after it began
    // to leave: it had requested changes from its relay just before it removed its
    // entry, which the relay learned 0.1 s later, and the earlier request was
    // treated as newer than the removal.
    const recentPeers = new RecentPeers(() => 0);
    recentPeers.record(PEER);
    recentPeers.remove(PEER.id);
    expect(recentPeers.list()).toEqual([]);
    recentPeers.record(PEER);
    expect(recentPeers.list()).toEqual([PEER]);
  });
});
