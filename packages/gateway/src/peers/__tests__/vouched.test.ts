/** Which peers count as alive by their own word. */
import { describe, expect, it } from 'vitest';
import type { InstanceEntry } from '@cardamomladder/fleet';
import { instanceId } from '@cardamomladder/types';
import { VouchedPeers } from '../vouched';

const PEER = { id: instanceId('north-1') } as InstanceEntry;

describe('a peer that was heard of directly', () => {
  it('counts for a while though the store has no entry of it', () => {
    let now = 0;
    const vouched = new VouchedPeers(() => now);
    vouched.hear(PEER);
    now = 1500;
    expect(vouched.list()).toEqual([PEER]);
    now = 1501;
    expect(vouched.list()).toEqual([]);
  });

  it('does not count any more once its entry has gone, until it is heard of again', () => {
    // Symptom: callers are sent to an instance for 1.5 s after it has begun to
    // leave. Sequence: it asks its relay for changes, is told to stop, takes
    // its entry away, which the relay learns 0.1 s later. Cause: its word from
    // before was taken for newer than the store's.
    const vouched = new VouchedPeers(() => 0);
    vouched.hear(PEER);
    vouched.gone(PEER.id);
    expect(vouched.list()).toEqual([]);
    vouched.hear(PEER);
    expect(vouched.list()).toEqual([PEER]);
  });
});
