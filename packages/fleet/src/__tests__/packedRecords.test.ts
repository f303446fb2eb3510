/** Changes on their way from a relay to those that follow it. */
import { describe, expect, it } from 'vitest';
import { storeEpoch } from '@cardamomladder/types';
import { PackedChanges, pack, unpackChanges } from '..';
import { FIRST_EPOCH } from '../__fixtures__/follower';
import { targetRecord } from '../__fixtures__/instances';

const changesOf = (count: number) => [
  ...Array.from({ length: count - 1 }, (_, i) => targetRecord(`t-${i}`, i + 1)),
  { key: 'targets/gone', revision: count, removed: true as const },
];

describe('packed changes', () => {
  it('are the same once unpacked', async () => {
    const changes = changesOf(40);
    const unpacked = await unpackChanges(await pack(changes));
    expect(unpacked.isOk() && unpacked.value).toEqual(changes);
  });

  it('take a quarter of the bytes, as each of them goes to each instance', async () => {
    // Symptom: with three times the machines and targets nine times the bytes
    // go between failure domains, and cost more than half of what is earned.
    // Sequence: targets register, leave and are replaced by the thousand, each
    // change goes to each instance. Cause: changes were passed on as JSON.
    const changes = changesOf(40);
    const plain = JSON.stringify(changes).length;
    expect((await pack(changes)).length / plain).toBeLessThan(0.25);
  });

  it('are packed once for all that ask from the same revision', () => {
    const packed = new PackedChanges();
    const changes = changesOf(5);
    const first = packed.between({ epoch: FIRST_EPOCH, revision: 0 }, 5, changes);
    expect(packed.between({ epoch: FIRST_EPOCH, revision: 0 }, 5, changes)).toBe(first);
    expect(packed.between({ epoch: FIRST_EPOCH, revision: 1 }, 5, changes.slice(1))).not.toBe(
      first,
    );
    expect(packed.between({ epoch: storeEpoch(1), revision: 0 }, 5, changes)).not.toBe(first);
  });

  it('are refused when they are cut, of another form or no changes at all', async () => {
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
