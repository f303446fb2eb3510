/** What the bytes of a body take in memory while it is received. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { ReceivedBytes } from '../receivedBytes';

const MAX_BLOCK_BYTES = 64 * 1024;
const MIN_BLOCK_BYTES = 512;

const memoryOf = (blocks: readonly Buffer[]): number =>
  blocks.reduce((sum, { buffer }) => sum + buffer.byteLength, 0);

describe('received bytes', () => {
  it('take as much memory as their number, however small the parts are', () => {
    // Guards against a Buffer for each chunk of a body, which takes 190 bytes for one byte.
    const received = new ReceivedBytes();
    for (let i = 0; i < 1_000_000; i += 1) received.add(Buffer.from([i % 256]));
    const blocks = received.take();
    expect(blocks.length).toBeLessThan(40);
    expect(memoryOf(blocks)).toBeLessThan(1_000_000 + 2 * MAX_BLOCK_BYTES);
  });

  it('are handed over whole and in order, in any parts, and take twice their number at most', () => {
    // Guards against bytes that are lost between two blocks, and large blocks for few bytes.
    fc.assert(
      fc.property(
        fc.array(fc.array(fc.integer({ min: 0, max: 100_000 }), { maxLength: 6 }), {
          maxLength: 4,
        }),
        (takes) => {
          const received = new ReceivedBytes();
          takes.forEach((sizes, i) => {
            const parts = sizes.map((size, k) => Buffer.alloc(size, `${i}.${k} `));
            parts.forEach((part) => received.add(part));
            const all = Buffer.concat(parts);
            expect(received.size).toBe(all.length);
            const blocks = received.take();
            expect(received.size).toBe(0);
            expect(Buffer.concat(blocks).equals(all)).toBe(true);
            expect(memoryOf(blocks)).toBeLessThanOrEqual(2 * all.length + MIN_BLOCK_BYTES);
          });
        },
      ),
    );
  });

  it('are a copy of the parts', () => {
    // Guards against a view of one byte that keeps all that was read with it.
    const read = Buffer.alloc(MAX_BLOCK_BYTES, 'x');
    const received = new ReceivedBytes();
    received.add(read.subarray(0, 1));
    read.fill('y');
    expect(received.toBuffer().toString()).toBe('x');
  });
});
