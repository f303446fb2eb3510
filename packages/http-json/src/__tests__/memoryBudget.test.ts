/** How the memory of bodies is shared. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { MemoryHolder } from '../memoryBudget';
import { MemoryBudget } from '../memoryBudget';

const MAX_BYTES = 1_000_000;
const SMALL_BYTES = 64 * 1024;
const MAX_BODY_BYTES = 700_000;

/** A body that is received in parts while its holder has room. */
const startBody = (budget: MemoryBudget, totalBytes: number) => {
  const holder = budget.open();
  let left = totalBytes;
  let mayReceive = true;
  return {
    holder,
    isComplete: () => left === 0,
    receive: (bytes: number) => {
      if (!mayReceive || left === 0) return;
      const part = Math.min(bytes, left);
      left -= part;
      mayReceive = holder.add(part);
      if (!mayReceive)
        holder.whenRoom(() => {
          mayReceive = true;
        });
    },
  };
};

describe('the memory of bodies', () => {
  it('is bounded, and every body is received, however they arrive', () => {
    // Guards against a process that is killed for its memory, and bodies that wait for each other for good.
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: MAX_BODY_BYTES }), { minLength: 1, maxLength: 20 }),
        fc.array(fc.tuple(fc.nat(19), fc.integer({ min: 1, max: SMALL_BYTES })), {
          maxLength: 200,
        }),
        (sizes, parts) => {
          const budget = new MemoryBudget(MAX_BYTES);
          const bodies = sizes.map((size) => startBody(budget, size));
          const bound = MAX_BYTES + MAX_BODY_BYTES + 2 * SMALL_BYTES * sizes.length;
          const step = (i: number, bytes: number) => {
            bodies[i % bodies.length].receive(bytes);
            expect(budget.heldBytes).toBeLessThanOrEqual(bound);
          };
          parts.forEach(([i, bytes]) => step(i, bytes));
          for (let k = 0; k < 1000 && !bodies.every(({ isComplete }) => isComplete()); k += 1) {
            bodies.forEach((_, i) => step(i, SMALL_BYTES));
            bodies.find((body) => body.isComplete() && !body.holder.isClosed())?.holder.close();
          }
          expect(bodies.map(({ isComplete }) => isComplete())).toEqual(sizes.map(() => true));
          bodies.forEach(({ holder }) => holder.close());
          expect(budget.heldBytes).toBe(0);
        },
      ),
    );
  });

  it('is given in the order in which they began, and small ones do not wait', () => {
    // Guards against bookings that wait behind large uploads, and late uploads that overtake.
    const budget = new MemoryBudget(MAX_BYTES);
    const holders = [budget.open(), budget.open(), budget.open()];
    const add = ([holder, bytes]: [MemoryHolder, number]) => holder.add(bytes);
    const small = budget.open();
    expect(
      [
        [holders[0], MAX_BYTES],
        [holders[1], 2 * SMALL_BYTES],
        [holders[2], 2 * SMALL_BYTES],
        [small, SMALL_BYTES],
        [holders[0], SMALL_BYTES],
      ].map((each) => add(each as [MemoryHolder, number])),
    ).toEqual([true, false, false, true, true]);
    const order: number[] = [];
    holders.forEach((holder, i) => holder.whenRoom(() => order.push(i)));
    holders[0].close();
    expect(order).toEqual([0, 1, 2]);
  });
});
