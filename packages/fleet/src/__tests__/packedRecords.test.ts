/** Packing of changes that a relay sends to its followers. */
import { describe, expect, it } from 'vitest';
import { storeEpoch } from '@cardamomladder/types';
import { PackedChangesCache, pack, unpackChanges } from '..';
import { INITIAL_EPOCH } from '../__fixtures__/follower';
import { targetRecord } from '../__fixtures__/instances';

const changesOf = (count: number) => [
  ...Array.from({ length: count - 1 }, (_, i) => targetRecord(`t-${i}`, i + 1)),
  { key: 'targets/gone', revision: count, removed: true as const },
];

describe('packed changes', () => {
  it('are unchanged after unpacking', async () => {
    const changes = changesOf(40);
    const unpacked = await unpackChanges(await pack(changes));
    expect(unpacked.isOk() && unpacked.value).toEqual(changes);
  });

  it('take less than a quarter of the bytes, since every change is sent to every instance', async () => {
    // Guards against traffic between failure domains whose cost exceeds half of the
    // revenue: thousands of targets register, leave and are replaced, and every
    // change is sent to every instance, so three times the machines and targets
    // cause nine times the bytes. Changes used to be sent as plain JSON.
    const changes = changesOf(40);
    const plain = JSON.stringify(changes).length;
    expect((await pack(changes)).length / plain).toBeLessThan(0.25);
  });

  it('are packed once for all requests from the same revision', () => {
    const packed = new PackedChangesCache();
    const changes = changesOf(5);
    const first = packed.between({ epoch: INITIAL_EPOCH, revision: 0 }, 5, changes);
    expect(packed.between({ epoch: INITIAL_EPOCH, revision: 0 }, 5, changes)).toBe(first);
    expect(packed.between({ epoch: INITIAL_EPOCH, revision: 1 }, 5, changes.slice(1))).not.toBe(
      first,
    );
    expect(packed.between({ epoch: storeEpoch(1), revision: 0 }, 5, changes)).not.toBe(first);
  });

  it('are rejected if they are truncated, malformed or not changes', async () => {
    const whole = await pack(changesOf(40));
    const others = [
      whole.slice(0, whole.length / 2),
      'not packed',
      await pack([{ key: 'k' } as never]),
      await pack({} as never),
    ];
    const read = await Promise.all(others.map((each) => unpackChanges(each)));
    expect(read.map((each) => each.isErr())).toEqual([true, true, true, true]);
  });
});
